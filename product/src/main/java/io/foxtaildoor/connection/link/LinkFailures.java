package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.protocol.StreamFailure;
import java.lang.System.Logger.Level;
import java.util.stream.Stream;

/** Creates stream failures and protects links from failing listeners. */
final class LinkFailures {
  private static final System.Logger LOG = System.getLogger(LinkFailures.class.getName());

  private LinkFailures() {}

  /** Creates a failure; {@code notRun} states that the request certainly did not run. */
  static StreamFailure of(ErrorKind kind, boolean notRun, String detail) {
    return StreamFailure.newBuilder()
        .setKind(kind.name())
        .setNotRun(notRun)
        .setDetail(detail)
        .build();
  }

  /** Returns the failure for a response body that exceeded the limit of its send buffer. */
  static StreamFailure bodyBufferOverflow() {
    return of(ErrorKind.INTERNAL, false, "response body exceeded the send buffer limit");
  }

  /**
   * Replaces an error kind that this build does not know, such as one of a newer node, with the
   * generic kind of the same outcome: the request either did not run or may have run.
   */
  static StreamFailure withKnownKind(StreamFailure failure) {
    if (Stream.of(ErrorKind.values()).anyMatch(kind -> kind.name().equals(failure.getKind()))) {
      return failure;
    }
    ErrorKind kind = failure.getNotRun() ? ErrorKind.OVERLOADED : ErrorKind.OUTCOME_UNKNOWN;
    return failure.toBuilder()
        .setKind(kind.name())
        .setDetail(failure.getKind() + ": " + failure.getDetail())
        .build();
  }

  /** Runs a stream callback; logs its exceptions so that they do not break the shared link. */
  static void runCallback(Runnable callback) {
    try {
      callback.run();
    } catch (RuntimeException e) {
      LOG.log(Level.ERROR, "stream listener threw an exception", e);
    }
  }
}
