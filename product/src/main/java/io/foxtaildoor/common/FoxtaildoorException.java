package io.foxtaildoor.common;

/**
 * The only unchecked exception that the product defines; its kind determines the error response.
 */
public final class FoxtaildoorException extends RuntimeException {
  private final ErrorKind kind;

  /** Creates an exception of a kind with a human-readable message. */
  public FoxtaildoorException(ErrorKind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** Creates an exception of a kind with a human-readable message and a cause. */
  public FoxtaildoorException(ErrorKind kind, String message, Throwable cause) {
    super(message, cause);
    this.kind = kind;
  }

  public ErrorKind kind() {
    return kind;
  }
}
