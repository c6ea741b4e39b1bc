package io.foxtaildoor.common;

/** Id of a member organisation. */
public record MemberId(String value) implements Comparable<MemberId> {
  /**
   * Creates an id.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the value is malformed
   */
  public MemberId {
    Identifiers.requireValid("member id", value);
  }

  @Override
  public int compareTo(MemberId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
