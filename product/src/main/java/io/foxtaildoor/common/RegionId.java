package io.foxtaildoor.common;

/** Id of a region. */
public record RegionId(String value) implements Comparable<RegionId> {
  /**
   * Creates an id.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the value is malformed
   */
  public RegionId {
    Identifiers.requireValid("region id", value);
  }

  @Override
  public int compareTo(RegionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
