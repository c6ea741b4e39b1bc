package io.foxtaildoor.request.idempotency;

/** Decision on a keyed request. */
public sealed interface KeyClaimResult {
  /** The request may run; exactly one of the methods of the claim ends it. */
  record Granted(Claim claim) implements KeyClaimResult {}

  /** The request ran; the repeat receives its answer. */
  record Answered(StoredResponse answer) implements KeyClaimResult {}

  /** The request runs, its outcome is unknown, or its answer was too large to remember. */
  record Duplicate(String detail) implements KeyClaimResult {}

  /** The registry is full of keys that must not be forgotten yet; nothing was run. */
  record Full() implements KeyClaimResult {}

  /** A key held by a request; calls after the first have no effect. */
  interface Claim {
    /** No byte was handed to the upstream: the key is free again. */
    void release();

    /** The whole answer is known; one that is too large is not kept, only the key. */
    void recordResponse(StoredResponse answer, long nowNanos);

    /** The request was handed over and its outcome is unknown, or its answer is not kept. */
    void recordUnknownOutcome(long nowNanos);
  }
}
