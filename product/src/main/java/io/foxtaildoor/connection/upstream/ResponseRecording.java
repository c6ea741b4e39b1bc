package io.foxtaildoor.connection.upstream;

import com.google.protobuf.ByteString;
import io.foxtaildoor.common.HeaderNames;
import io.foxtaildoor.protocol.Header;
import io.foxtaildoor.protocol.ResponseStart;
import io.foxtaildoor.request.idempotency.KeyClaimResult;
import io.foxtaildoor.request.idempotency.StoredResponse;
import io.netty.buffer.ByteBuf;

/**
 * Records the response to a request with an idempotency key while it is forwarded, up to a limit.
 */
final class ResponseRecording {
  private final int limit;
  private ResponseStart head = ResponseStart.getDefaultInstance();
  private ByteString body = ByteString.EMPTY;
  private boolean tooLarge;

  private ResponseRecording(int limit) {
    this.limit = limit;
    this.tooLarge = limit == 0;
  }

  /** Records nothing. */
  static ResponseRecording none() {
    return new ResponseRecording(0);
  }

  static ResponseRecording upTo(int limit) {
    return new ResponseRecording(limit);
  }

  /**
   * Records the head of the response, without the header that names its request, because the
   * response is sent again to requests with other ids.
   */
  void recordHead(ResponseStart.Builder start, String requestIdHeader) {
    if (tooLarge) {
      return;
    }
    ResponseStart.Builder recorded = start.clone().clearLoad().clearStream().clearHeaders();
    for (Header header : start.getHeadersList()) {
      String name = header.getName();
      if (!name.equalsIgnoreCase(requestIdHeader)
          && !name.equalsIgnoreCase(HeaderNames.REQUEST_ID)) {
        recorded.addHeaders(header);
      }
    }
    head = recorded.build();
  }

  void recordBody(ByteBuf data) {
    if (tooLarge || body.size() + data.readableBytes() > limit) {
      tooLarge = true;
      body = ByteString.EMPTY;
      return;
    }
    body = body.concat(ByteString.copyFrom(data.nioBuffer()));
  }

  /** Ends the claim of the key with the recorded response, or without it if it was too large. */
  void endClaim(KeyClaimResult.Claim claim, long nowNanos) {
    if (tooLarge) {
      claim.recordUnknownOutcome(nowNanos);
    } else {
      claim.recordResponse(new StoredResponse(head, body), nowNanos);
    }
  }
}
