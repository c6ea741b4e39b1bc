package io.foxtaildoor.process.node;

import static io.foxtaildoor.process.settings.NodeSettings.ANNOUNCEMENT_EXPIRY;
import static io.foxtaildoor.process.settings.NodeSettings.CLUSTER;
import static io.foxtaildoor.process.settings.NodeSettings.FANOUT;
import static io.foxtaildoor.process.settings.NodeSettings.PLATFORM_BACKGROUND_BURST;
import static io.foxtaildoor.process.settings.NodeSettings.PLATFORM_BACKGROUND_RATE;
import static io.foxtaildoor.process.settings.NodeSettings.PLATFORM_CALL_TIMEOUT;
import static io.foxtaildoor.process.settings.NodeSettings.PLATFORM_ENDPOINTS;
import static io.foxtaildoor.process.settings.NodeSettings.PLATFORM_START_DELAY;
import static io.foxtaildoor.process.settings.NodeSettings.PROBE_INTERVAL;
import static io.foxtaildoor.process.settings.NodeSettings.SUSPICION_TIMEOUT;

import io.foxtaildoor.process.membership.MembershipSettings;
import io.foxtaildoor.process.platform.CallRate;
import io.foxtaildoor.process.platform.PlatformSettings;
import io.foxtaildoor.process.platform.ReaderSettings;
import io.foxtaildoor.process.settings.Settings;
import io.foxtaildoor.version.distribution.DistributionSettings;
import io.netty.util.NetUtil;
import java.net.URI;
import java.time.Duration;
import java.util.List;

/** Derives the settings of each module from the node's settings. */
final class ModuleSettings {
  /**
   * The indirect probe is sent after at most this fraction of the probe interval, so that it comes
   * well before the next probe.
   */
  private static final int INDIRECT_PROBE_DIVISOR = 3;

  /**
   * The platform answers within milliseconds, so a connection that has not answered after this time
   * is abandoned.
   */
  private static final Duration MANAGED_CALL_TIMEOUT = Duration.ofSeconds(1);

  private static final Duration MANAGED_CONNECT_TIMEOUT = Duration.ofMillis(500);

  /** Allows a burst of configuration versions, each of which causes one watch call. */
  private static final CallRate MANAGED_BACKGROUND_RATE = new CallRate(20, 10);

  private final Settings settings;

  ModuleSettings(Settings settings) {
    this.settings = settings;
  }

  PlatformSettings platform() {
    List<URI> endpoints =
        settings.get(PLATFORM_ENDPOINTS).stream()
            .map(endpoint -> URI.create("http://" + NetUtil.toSocketAddressString(endpoint)))
            .toList();
    PlatformSettings defaults = PlatformSettings.defaults(endpoints);
    return new PlatformSettings(
        endpoints,
        settings.get(PLATFORM_CALL_TIMEOUT),
        defaults.connectTimeout(),
        defaults.connectionsPerEndpoint(),
        new CallRate(
            settings.get(PLATFORM_BACKGROUND_BURST), settings.get(PLATFORM_BACKGROUND_RATE)),
        defaults.interactive(),
        defaults.partFetches(),
        defaults.initialBackoff(),
        defaults.maxBackoff());
  }

  /**
   * Returns the settings for calls to a managed platform. Every kind of call has its own schedule
   * there, so the call rate only limits bursts.
   */
  PlatformSettings managedPlatform() {
    PlatformSettings defaults = platform();
    return new PlatformSettings(
        defaults.endpoints(),
        MANAGED_CALL_TIMEOUT,
        MANAGED_CONNECT_TIMEOUT,
        defaults.connectionsPerEndpoint(),
        MANAGED_BACKGROUND_RATE,
        defaults.interactive(),
        defaults.partFetches(),
        defaults.initialBackoff(),
        defaults.maxBackoff());
  }

  ReaderSettings reader() {
    ReaderSettings defaults = ReaderSettings.defaults();
    return new ReaderSettings(
        defaults.slots(),
        defaults.candidates(),
        defaults.leaseTime(),
        settings.get(PLATFORM_START_DELAY),
        defaults.watchWait(),
        defaults.contacts(),
        defaults.contactsInterval(),
        defaults.parallelFetches());
  }

  MembershipSettings membership() {
    MembershipSettings defaults = MembershipSettings.defaults();
    Duration probeInterval = settings.get(PROBE_INTERVAL);
    Duration indirectDelay = probeInterval.dividedBy(INDIRECT_PROBE_DIVISOR);
    return new MembershipSettings(
        settings.get(CLUSTER),
        probeInterval,
        indirectDelay.compareTo(defaults.indirectDelay()) < 0
            ? indirectDelay
            : defaults.indirectDelay(),
        defaults.indirectProbes(),
        settings.get(SUSPICION_TIMEOUT),
        defaults.disseminationFactor(),
        defaults.maxUpdateBytes(),
        defaults.urgentFanout(),
        defaults.urgentRepeatDelay(),
        defaults.exchangePeriod(),
        defaults.deadRetention(),
        defaults.leftRetention(),
        defaults.deadProbePeriod(),
        settings.get(ANNOUNCEMENT_EXPIRY),
        defaults.maxJoinRetryDelay());
  }

  DistributionSettings distribution() {
    DistributionSettings defaults = DistributionSettings.defaults();
    return new DistributionSettings(
        settings.get(FANOUT),
        defaults.noticeRepeat(),
        defaults.maxPulls(),
        defaults.hedgeAfter(),
        defaults.pullTimeout(),
        defaults.initialBackoff(),
        defaults.maxBackoff(),
        defaults.loggedVersions(),
        defaults.maxFrameBytes(),
        defaults.maxSources());
  }
}
