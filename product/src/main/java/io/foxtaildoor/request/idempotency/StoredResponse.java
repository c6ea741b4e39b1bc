package io.foxtaildoor.request.idempotency;

import com.google.protobuf.ByteString;
import io.foxtaildoor.protocol.ResponseStart;

/**
 * A whole answer that a repeat receives.
 *
 * @param head the head without the stream id
 */
public record StoredResponse(ResponseStart head, ByteString body) {
  int bytes() {
    return head.getSerializedSize() + body.size();
  }
}
