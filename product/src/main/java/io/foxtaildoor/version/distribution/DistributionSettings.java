package io.foxtaildoor.version.distribution;

import io.foxtaildoor.common.SettingsCheck;
import io.foxtaildoor.process.platform.PlatformClient;
import java.time.Duration;

/**
 * Settings of the configuration distribution.
 *
 * @param fanout nodes that get a notice of a new version
 * @param noticeRepeat time after which the notice is sent once again to other random nodes
 * @param maxPulls most pulls in flight
 * @param hedgeAfter age of a pull after which another source is asked as well
 * @param pullTimeout age at which a pull counts as failed
 * @param initialBackoff first delay after a failed pull from a source
 * @param maxBackoff longest delay after failed pulls from a source
 * @param loggedVersions versions for which a difference can be given
 * @param maxFrameBytes largest answer in bytes
 * @param maxSources most sources that are remembered
 */
public record DistributionSettings(
    int fanout,
    Duration noticeRepeat,
    int maxPulls,
    Duration hedgeAfter,
    Duration pullTimeout,
    Duration initialBackoff,
    Duration maxBackoff,
    int loggedVersions,
    int maxFrameBytes,
    int maxSources) {
  private static final int MEBIBYTE = 1 << 20;

  /** Room for a frame's other fields beside one part of the largest size. */
  private static final int MIN_FRAME_BYTES = PlatformClient.MAX_VALUE_BYTES + 1_024;

  /** Checks the values. */
  public DistributionSettings {
    SettingsCheck.requireAtLeast("fanout", fanout, 1);
    SettingsCheck.requirePositive("noticeRepeat", noticeRepeat);
    SettingsCheck.requireAtLeast("maxPulls", maxPulls, 1);
    SettingsCheck.requirePositive("hedgeAfter", hedgeAfter);
    SettingsCheck.requirePositive("pullTimeout", pullTimeout);
    SettingsCheck.requirePositive("initialBackoff", initialBackoff);
    SettingsCheck.requirePositive("maxBackoff", maxBackoff);
    SettingsCheck.requireAtLeast("loggedVersions", loggedVersions, 1);
    // A part that never fits into a frame would never reach another node.
    SettingsCheck.requireAtLeast("maxFrameBytes", maxFrameBytes, MIN_FRAME_BYTES);
    SettingsCheck.requireAtLeast("maxSources", maxSources, maxPulls + 1L);
  }

  /** The usual settings. */
  public static DistributionSettings defaults() {
    return new DistributionSettings(
        4,
        Duration.ofMillis(200),
        2,
        Duration.ofSeconds(1),
        Duration.ofSeconds(10),
        Duration.ofMillis(200),
        Duration.ofSeconds(10),
        64,
        MEBIBYTE,
        64);
  }
}
