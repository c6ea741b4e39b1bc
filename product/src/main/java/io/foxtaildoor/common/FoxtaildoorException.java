package io.foxtaildoor.common;

/** The one unchecked exception of the product; its kind decides every answer. */
public final class FoxtaildoorException extends RuntimeException {
  private final ErrorKind kind;

  /** Creates an exception of a kind with a message for people. */
  public FoxtaildoorException(ErrorKind kind, String message) {
    super(message);
    this.kind = kind;
  }

  /** Creates an exception that was caused by another. */
  public FoxtaildoorException(ErrorKind kind, String message, Throwable cause) {
    super(message, cause);
    this.kind = kind;
  }

  public ErrorKind kind() {
    return kind;
  }
}
