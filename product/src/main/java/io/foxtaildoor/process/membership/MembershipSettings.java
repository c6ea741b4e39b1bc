package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import java.time.Duration;

/**
 * Settings of the membership protocol; all nodes of a cluster should use the same values.
 *
 * @param cluster name that every datagram must carry
 * @param probePeriod time between two probes; an unanswered probe raises a suspicion after it
 * @param indirectDelay wait for a direct answer before other nodes are asked to probe
 * @param indirectProbes number of other nodes that are asked to probe
 * @param suspicionTimeout time that a suspected node has to refute
 * @param disseminationFactor an update is sent this many times log2 of the number of nodes
 * @param maxUpdateBytes limit for the updates in one datagram
 * @param urgentFanout nodes to which an urgent update is pushed
 * @param urgentRepeatDelay time after which an urgent update is pushed for the second time
 * @param exchangePeriod time between two state exchanges
 * @param deadRetention time for which a dead node is remembered
 * @param leftRetention time for which a node that left is remembered
 * @param deadProbePeriod time between two probes of dead nodes
 * @param announcementExpiry time after which an announcement that is not renewed expires
 * @param maxJoinRetryDelay longest wait between two attempts to join
 */
public record MembershipSettings(
    String cluster,
    Duration probePeriod,
    Duration indirectDelay,
    int indirectProbes,
    Duration suspicionTimeout,
    int disseminationFactor,
    int maxUpdateBytes,
    int urgentFanout,
    Duration urgentRepeatDelay,
    Duration exchangePeriod,
    Duration deadRetention,
    Duration leftRetention,
    Duration deadProbePeriod,
    Duration announcementExpiry,
    Duration maxJoinRetryDelay) {
  /**
   * Five exchange periods. A record of the former state survives in gossip for about one minute and
   * in the fleet until every node took part in a few exchanges; a node that left must be remembered
   * longer than that, or the old record would bring it back.
   */
  private static final Duration LEFT_MEMORY = Duration.ofMinutes(10);

  /** The largest encoded record has about 340 bytes, so at least one update always fits. */
  private static final int MIN_UPDATE_BYTES = 400;

  /**
   * Checks the settings.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when they contradict
   */
  public MembershipSettings {
    require(cluster != null && !cluster.isEmpty(), "cluster must have a name");
    require(cluster.length() <= 63, "cluster must have at most 63 characters");
    require(indirectDelay.compareTo(probePeriod) < 0, "indirectDelay must be below probePeriod");
    require(!indirectDelay.isNegative() && !probePeriod.isZero(), "probePeriod must be positive");
    require(maxUpdateBytes >= MIN_UPDATE_BYTES, "maxUpdateBytes must be at least 400");
    require(maxUpdateBytes <= 1_000, "maxUpdateBytes must be at most 1000");
    require(urgentFanout > 0, "fanout must be positive");
    require(indirectProbes >= 0, "indirectProbes must not be negative");
    require(disseminationFactor > 0, "disseminationFactor must be positive");
    require(isPositive(suspicionTimeout), "suspicion must be positive");
    require(isPositive(exchangePeriod), "exchangePeriod must be positive");
    require(isPositive(deadProbePeriod), "deadProbePeriod must be positive");
    require(isPositive(announcementExpiry), "announcementExpiry must be positive");
    require(isPositive(maxJoinRetryDelay), "joinRetry must be positive");
    require(deadRetention.compareTo(suspicionTimeout) > 0, "deadMemory must exceed suspicion");
    require(leftRetention.compareTo(suspicionTimeout) > 0, "leftMemory must exceed suspicion");
  }

  /** Returns the values of the design page. */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        "foxtaildoor",
        Duration.ofSeconds(1),
        Duration.ofMillis(300),
        3,
        Duration.ofSeconds(4),
        4,
        1_000,
        4,
        Duration.ofMillis(200),
        Duration.ofSeconds(120),
        Duration.ofHours(2),
        LEFT_MEMORY,
        Duration.ofSeconds(10),
        Duration.ofSeconds(6),
        Duration.ofSeconds(5));
  }

  /** Returns these settings for another cluster. */
  public MembershipSettings withCluster(String name) {
    return new MembershipSettings(
        name,
        probePeriod,
        indirectDelay,
        indirectProbes,
        suspicionTimeout,
        disseminationFactor,
        maxUpdateBytes,
        urgentFanout,
        urgentRepeatDelay,
        exchangePeriod,
        deadRetention,
        leftRetention,
        deadProbePeriod,
        announcementExpiry,
        maxJoinRetryDelay);
  }

  private static boolean isPositive(Duration duration) {
    return !duration.isNegative() && !duration.isZero();
  }

  private static void require(boolean holds, String message) {
    if (!holds) {
      throw new FoxtaildoorException(ErrorKind.INVALID_INPUT, "membership settings: " + message);
    }
  }
}
