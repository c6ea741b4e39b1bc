package io.foxtaildoor.common;

/** Id of a data centre, unique across all regions. */
public record DataCentreId(String value) implements Comparable<DataCentreId> {
  /**
   * Creates an id.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the value is malformed
   */
  public DataCentreId {
    Identifiers.requireValid("data centre id", value);
  }

  @Override
  public int compareTo(DataCentreId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
