package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.common.HeaderDialect;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/** Decides what the head of an upstream's answer is worth; without state. */
final class AnswerChecks {
  private AnswerChecks() {}

  /**
   * Whether an answer belongs to a request. A faulty upstream may send an answer twice, and the
   * second one then stands where the answer to the next request is due.
   */
  static boolean belongs(HttpResponse answer, HeaderDialect dialect, String requestId) {
    String named = answer.headers().get(dialect.requestId());
    return named == null || named.equals(requestId);
  }

  /** Whether an answer states that its request did not run. */
  static boolean statesNotRun(HttpResponse answer, HeaderDialect dialect) {
    return !dialect.notRun().isEmpty()
        && (answer.headers().contains(dialect.notRun())
            || answer.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST));
  }

  /** Whether a good answer is the upstream's own, with the body as the upstream made it. */
  static boolean isGenuine(HttpResponse answer, HeaderDialect dialect) {
    boolean good = answer.status().codeClass() == HttpStatusClass.SUCCESS;
    if (!dialect.requiresSignature() || !good) {
      return true;
    }
    return answer.headers().contains(dialect.signature())
        && answer.headers().contains(dialect.requestId())
        && !answer.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
  }
}
