package io.foxtaildoor.connection.upstream;

import com.google.protobuf.ByteString;
import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.request.idempotency.KeyClaimResult;
import io.foxtaildoor.request.idempotency.StoredResponse;
import io.netty.buffer.ByteBuf;

/** Copies the answer to a keyed request while it passes, up to a limit. */
final class AnswerCopy {
  private final int limit;
  private ResponseStart head = ResponseStart.getDefaultInstance();
  private ByteString body = ByteString.EMPTY;
  private boolean tooLarge;

  private AnswerCopy(int limit) {
    this.limit = limit;
    this.tooLarge = limit == 0;
  }

  /** Copies nothing. */
  static AnswerCopy none() {
    return new AnswerCopy(0);
  }

  static AnswerCopy upTo(int limit) {
    return new AnswerCopy(limit);
  }

  void head(ResponseStart.Builder start) {
    head = start.clone().clearLoad().clearStream().build();
  }

  void body(ByteBuf data) {
    if (tooLarge || body.size() + data.readableBytes() > limit) {
      tooLarge = true;
      body = ByteString.EMPTY;
      return;
    }
    body = body.concat(ByteString.copyFrom(data.nioBuffer()));
  }

  /** Ends a claim with the whole answer, or without it when it is too large. */
  void settle(KeyClaimResult.Claim claim, long nowNanos) {
    if (tooLarge) {
      claim.recordUnknownOutcome(nowNanos);
    } else {
      claim.recordResponse(new StoredResponse(head, body), nowNanos);
    }
  }
}
