package io.foxtaildoor.process.membership;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import java.time.Duration;

/**
 * Settings of the membership protocol; all nodes of a cluster should use the same values.
 *
 * @param cluster name of the cluster, which every datagram must carry
 * @param probePeriod interval between two probes; a probe that is unanswered after this time raises
 *     a suspicion
 * @param indirectDelay wait for an answer to a direct probe before other nodes are asked to probe
 *     the target
 * @param indirectProbes number of other nodes that are asked to probe a target
 * @param suspicionTimeout time within which a suspected node must refute the suspicion before it is
 *     marked dead
 * @param disseminationFactor factor of the number of times that an update is sent, which is this
 *     factor times log2 of the number of nodes
 * @param maxUpdateBytes maximum size of the updates in one datagram, in bytes
 * @param urgentFanout number of nodes to which an urgent update is pushed
 * @param urgentRepeatDelay delay after which an urgent update is pushed for the second time
 * @param exchangePeriod mean interval between two state exchanges
 * @param deadRetention time for which a dead node is remembered
 * @param leftRetention time for which a node that left is remembered
 * @param deadProbePeriod interval between two probes of dead nodes or unknown contact addresses
 * @param announcementExpiry time after which an announcement of an upstream expires unless it is
 *     renewed
 * @param maxJoinRetryDelay longest wait before the next attempt after a failed state exchange, such
 *     as an attempt to join
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
   * Five exchange periods. A record of the previous state survives in gossip for about one minute,
   * and in the fleet until every node has taken part in a few exchanges. A node that left must be
   * remembered for longer than that, or the old record would bring it back.
   */
  private static final Duration LEFT_MEMORY = Duration.ofMinutes(10);

  /**
   * The largest encoded record has about 340 bytes, so at least one update fits into every
   * datagram.
   */
  private static final int MIN_UPDATE_BYTES = 400;

  /**
   * Checks the settings.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when a value is out of range
   *     or values contradict each other
   */
  public MembershipSettings {
    require(cluster != null && !cluster.isEmpty(), "cluster must have a name");
    require(cluster.length() <= 63, "cluster must have at most 63 characters");
    require(indirectDelay.compareTo(probePeriod) < 0, "indirectDelay must be below probePeriod");
    require(!indirectDelay.isNegative() && !probePeriod.isZero(), "probePeriod must be positive");
    require(maxUpdateBytes >= MIN_UPDATE_BYTES, "maxUpdateBytes must be at least 400");
    require(maxUpdateBytes <= 1_000, "maxUpdateBytes must be at most 1000");
    require(urgentFanout > 0, "urgentFanout must be positive");
    require(indirectProbes >= 0, "indirectProbes must not be negative");
    require(disseminationFactor > 0, "disseminationFactor must be positive");
    require(isPositive(suspicionTimeout), "suspicionTimeout must be positive");
    require(isPositive(exchangePeriod), "exchangePeriod must be positive");
    require(isPositive(deadProbePeriod), "deadProbePeriod must be positive");
    require(isPositive(announcementExpiry), "announcementExpiry must be positive");
    require(isPositive(maxJoinRetryDelay), "maxJoinRetryDelay must be positive");
    require(
        deadRetention.compareTo(suspicionTimeout) > 0,
        "deadRetention must exceed suspicionTimeout");
    require(
        leftRetention.compareTo(suspicionTimeout) > 0,
        "leftRetention must exceed suspicionTimeout");
  }

  /** Returns the default settings, which are those of the design document. */
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

  /** Returns a copy of these settings with another cluster name. */
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

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new FoxtaildoorException(ErrorKind.INVALID_INPUT, "membership settings: " + message);
    }
  }
}
