package io.foxtaildoor.request.idempotency;

import com.google.protobuf.ByteString;
import io.foxtaildoor.protocol.ResponseStart;

/**
 * Complete response that is returned for a repeated request.
 *
 * @param head response head without the stream id
 */
public record StoredResponse(ResponseStart head, ByteString body) {
  int bytes() {
    return head.getSerializedSize() + body.size();
  }
}
