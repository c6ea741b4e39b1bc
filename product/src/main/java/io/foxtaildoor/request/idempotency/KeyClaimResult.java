package io.foxtaildoor.request.idempotency;

/** Result of claiming an idempotency key for a request. */
public sealed interface KeyClaimResult {
  /** The request may run; exactly one method of the claim must be called to end it. */
  record Granted(Claim claim) implements KeyClaimResult {}

  /** An earlier request with the key ran; its response is returned for the repeat. */
  record Answered(StoredResponse response) implements KeyClaimResult {}

  /**
   * An earlier request with the key is running, has an unknown outcome, or had a response too large
   * to store.
   */
  record Duplicate(String detail) implements KeyClaimResult {}

  /** The registry is full of keys that must not be dropped yet; the request was not run. */
  record Full() implements KeyClaimResult {}

  /** Claim of a key by a running request; only the first call of a method has an effect. */
  interface Claim {
    /** Releases the key because no byte of the request was written to the upstream. */
    void release();

    /** Stores the complete response; if it is too large, only the key is kept. */
    void recordResponse(StoredResponse response, long nowNanos);

    /**
     * Records that the request was sent to the upstream and its outcome is unknown or its response
     * is not stored.
     */
    void recordUnknownOutcome(long nowNanos);
  }
}
