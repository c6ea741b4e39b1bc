package io.foxtaildoor.common;

/** Id of a service, unique in the mesh. */
public record ServiceId(String value) implements Comparable<ServiceId> {
  /**
   * Creates an id.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the value is malformed
   */
  public ServiceId {
    Identifiers.requireValid("service id", value);
  }

  @Override
  public int compareTo(ServiceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
