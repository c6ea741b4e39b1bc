package io.foxtaildoor.common;

import java.time.Duration;

/**
 * Checks of settings; a failed check throws an error of kind invalid input whose message names the
 * setting.
 */
public final class SettingsCheck {
  private SettingsCheck() {}

  /**
   * Checks a condition.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when it does not hold
   */
  public static void require(boolean condition, String message) {
    if (!condition) {
      throw new FoxtaildoorException(ErrorKind.INVALID_INPUT, message);
    }
  }

  /**
   * Checks that a number is at least a limit.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when it is not
   */
  public static void requireAtLeast(String setting, long value, long limit) {
    require(value >= limit, setting + " is " + value + " and must be at least " + limit);
  }

  /**
   * Checks that a duration is positive.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when it is not
   */
  public static void requirePositive(String setting, Duration value) {
    boolean positive = value != null && !value.isNegative() && !value.isZero();
    require(positive, setting + " is " + value + " and must be a positive duration");
  }
}
