package io.foxtaildoor.process.platform;

/**
 * Typed result of a call to the platform.
 *
 * @param <T> type of the value that a successful call returns
 */
public sealed interface PlatformResult<T> {
  /** The call took effect. */
  record Done<T>(T value) implements PlatformResult<T> {}

  /**
   * The call had no effect because the key does not have the expected revision or the lease has
   * another holder.
   */
  record Conflict<T>(PlatformEntry present) implements PlatformResult<T> {}

  /** The call had no effect and may be retried later. */
  record Unavailable<T>(String reason) implements PlatformResult<T> {}

  /** The call may have taken effect; the caller must read the key back before retrying. */
  record OutcomeUnknown<T>(String reason) implements PlatformResult<T> {}
}
