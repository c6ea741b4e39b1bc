package io.foxtaildoor.connection.link;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.protocol.StreamFailure;
import java.lang.System.Logger.Level;
import java.util.stream.Stream;

/** Builds failures of streams. */
final class LinkFailures {
  private static final System.Logger LOG = System.getLogger(LinkFailures.class.getName());

  private LinkFailures() {}

  static StreamFailure of(ErrorKind kind, boolean notRun, String detail) {
    return StreamFailure.newBuilder()
        .setKind(kind.name())
        .setNotRun(notRun)
        .setDetail(detail)
        .build();
  }

  /** The answering side sent its body faster than the other side takes it. */
  static StreamFailure bodyBufferOverflow() {
    return of(ErrorKind.INTERNAL, false, "body buffer is over its limit");
  }

  /**
   * Replaces a kind that this build does not know, as one of a newer node, by the general kind with
   * the same outcome.
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

  /** Runs a callback of a stream; its fault must not break the link of the other streams. */
  static void runCallback(Runnable callback) {
    try {
      callback.run();
    } catch (RuntimeException e) {
      LOG.log(Level.ERROR, "listener of a stream failed", e);
    }
  }
}
