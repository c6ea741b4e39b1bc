package io.foxtaildoor.version.distribution;

import io.foxtaildoor.common.SettingsCheck;
import io.foxtaildoor.process.platform.PlatformClient;
import java.time.Duration;

/**
 * Settings of the configuration distribution.
 *
 * @param fanout number of random nodes to which a notice of a new version is sent
 * @param noticeRepeat delay after which the notice is sent a second time, to newly chosen random
 *     nodes
 * @param maxPulls maximum number of concurrent pulls
 * @param hedgeAfter age of a pull after which a second pull is started from another source
 * @param pullTimeout age at which a pull is considered failed
 * @param initialBackoff delay before the next pull from a source after a first failure
 * @param maxBackoff maximum delay before the next pull from a source after repeated failures
 * @param loggedVersions number of earlier versions from which a difference can be computed
 * @param maxFrameBytes maximum size of an answer in bytes
 * @param maxSources maximum number of sources whose announced versions are tracked
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

  /** Allows for one part of the maximum size and the other fields of its frame. */
  private static final int MIN_FRAME_BYTES = PlatformClient.MAX_VALUE_BYTES + 1_024;

  /** Validates the settings. */
  public DistributionSettings {
    SettingsCheck.requireAtLeast("fanout", fanout, 1);
    SettingsCheck.requirePositive("noticeRepeat", noticeRepeat);
    SettingsCheck.requireAtLeast("maxPulls", maxPulls, 1);
    SettingsCheck.requirePositive("hedgeAfter", hedgeAfter);
    SettingsCheck.requirePositive("pullTimeout", pullTimeout);
    SettingsCheck.requirePositive("initialBackoff", initialBackoff);
    SettingsCheck.requirePositive("maxBackoff", maxBackoff);
    SettingsCheck.requireAtLeast("loggedVersions", loggedVersions, 1);
    // A part that does not fit into a frame could never be sent to another node.
    SettingsCheck.requireAtLeast("maxFrameBytes", maxFrameBytes, MIN_FRAME_BYTES);
    SettingsCheck.requireAtLeast("maxSources", maxSources, maxPulls + 1L);
  }

  /** Returns the default settings. */
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
