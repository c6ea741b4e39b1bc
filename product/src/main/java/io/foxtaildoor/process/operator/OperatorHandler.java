package io.foxtaildoor.process.operator;

import java.util.concurrent.CompletableFuture;

/** Handles the requests that match one method and path template. Must not block. */
@FunctionalInterface
public interface OperatorHandler {
  /**
   * Handles a request.
   *
   * @return the response; a {@link io.foxtaildoor.common.FoxtaildoorException}, thrown or in the
   *     future, becomes a problem document
   */
  CompletableFuture<OperatorResponse> handle(OperatorRequest request);
}
