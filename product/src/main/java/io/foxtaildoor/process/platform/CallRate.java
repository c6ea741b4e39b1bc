package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.SettingsCheck;

/**
 * Limit of calls to the platform.
 *
 * @param burst calls that may start at once
 * @param perSecond calls per second in the long run
 */
public record CallRate(int burst, double perSecond) {
  /** Checks the values. */
  public CallRate {
    SettingsCheck.requireAtLeast("burst", burst, 1);
    SettingsCheck.require(perSecond > 0, "perSecond is " + perSecond + " and must be positive");
  }
}
