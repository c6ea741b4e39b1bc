package io.foxtaildoor.process.platform;

/**
 * Typed result of a call to the platform.
 *
 * @param <T> what a successful call gives
 */
public sealed interface PlatformResult<T> {
  /** The call took effect. */
  record Done<T>(T value) implements PlatformResult<T> {}

  /** The key's revision or the lease's holder is not the expected one. */
  record Conflict<T>(PlatformEntry present) implements PlatformResult<T> {}

  /** The call did not take effect; it may be tried later. */
  record Unavailable<T>(String reason) implements PlatformResult<T> {}

  /** The call may have taken effect; read back before trying again. */
  record OutcomeUnknown<T>(String reason) implements PlatformResult<T> {}
}
