package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.SettingsCheck;

/**
 * Rate limit for calls to the platform.
 *
 * @param burst number of calls that may start at the same time
 * @param perSecond sustained number of calls per second
 */
public record CallRate(int burst, double perSecond) {
  /** Validates the values. */
  public CallRate {
    SettingsCheck.requireAtLeast("burst", burst, 1);
    SettingsCheck.require(perSecond > 0, "perSecond is " + perSecond + " and must be positive");
  }
}
