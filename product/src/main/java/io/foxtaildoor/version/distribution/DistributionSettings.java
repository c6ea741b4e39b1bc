package io.foxtaildoor.version.distribution;

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
