package io.foxtaildoor.common;

/** Id of a team, unique in the mesh. */
public record TeamId(String value) implements Comparable<TeamId> {
  /**
   * Creates an id.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the value is malformed
   */
  public TeamId {
    Identifiers.requireValid("team id", value);
  }

  @Override
  public int compareTo(TeamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
