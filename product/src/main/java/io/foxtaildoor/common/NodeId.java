package io.foxtaildoor.common;

/** Id of a node process; a restarted process gets a new id. */
public record NodeId(String value) implements Comparable<NodeId> {
  /**
   * Creates an id.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the value is malformed
   */
  public NodeId {
    Identifiers.requireValid("node id", value);
  }

  @Override
  public int compareTo(NodeId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
