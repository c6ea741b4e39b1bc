package io.foxtaildoor.process.node;

import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.connection.upstream.UpstreamServer;
import io.foxtaildoor.process.membership.Membership;
import io.foxtaildoor.process.membership.UpstreamAnnouncement;
import io.foxtaildoor.process.operator.UpstreamResource;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/**
 * Tracks the upstream on this host: passes its announcements on to the cluster membership and to
 * the server that forwards requests to it.
 */
final class LocalUpstream implements UpstreamResource.Announcer {
  private static final Logger LOGGER = System.getLogger(LocalUpstream.class.getName());

  private final Membership membership;
  private final UpstreamServer server;
  private final Duration expiry;
  private final LongSupplier clock;
  private final Object lock = new Object();
  private Instance instance;
  private long lastRenewedNanos;
  private boolean rejecting;

  private record Instance(String id, InetSocketAddress address, UpstreamAnnouncement announcement) {
    boolean matches(String otherId, ServiceId service, InetSocketAddress otherAddress, int slots) {
      return id.equals(otherId)
          && address.equals(otherAddress)
          && announcement.service().equals(service)
          && announcement.slots() == slots;
    }
  }

  LocalUpstream(Membership membership, UpstreamServer server, Duration expiry, LongSupplier clock) {
    this.membership = membership;
    this.server = server;
    this.expiry = expiry;
    this.clock = clock;
  }

  @Override
  public void announce(ServiceId service, InetSocketAddress address, int slots) {
    announce("", service, address, slots, Duration.ZERO);
  }

  /**
   * Registers the upstream or renews its announcement; ignored when the node is stopping.
   *
   * @param id id of the upstream instance; empty when it has none
   * @param age time since the start of the instance; used only when the announcement is not a
   *     renewal
   */
  void announce(String id, ServiceId service, InetSocketAddress address, int slots, Duration age) {
    long nowNanos = clock.getAsLong();
    synchronized (lock) {
      if (rejecting) {
        return;
      }
      lastRenewedNanos = nowNanos;
      if (instance == null || !instance.matches(id, service, address, slots)) {
        long startedAtNanos = nowNanos - age.toNanos();
        instance =
            new Instance(id, address, new UpstreamAnnouncement(service, slots, startedAtNanos));
        server.attach(address, instance.announcement(), id);
        LOGGER.log(Level.INFO, "upstream {0} of service {1} was announced", address, service);
      }
      membership.announceUpstream(
          service, slots, Duration.ofNanos(nowNanos - instance.announcement().startedAtNanos()));
    }
  }

  @Override
  public void withdraw() {
    var unused = withdrawAndFlush();
  }

  /** Withdraws the announcement; completes when no new request can reach the upstream any more. */
  CompletableFuture<Void> withdrawAndFlush() {
    synchronized (lock) {
      if (instance == null) {
        return CompletableFuture.completedFuture(null);
      }
      LOGGER.log(Level.INFO, "announcement of upstream {0} was withdrawn", instance.address());
      return removeInstance();
    }
  }

  /** Removes the upstream if it has not renewed its announcement in time. */
  void expireIfNotRenewed(long nowNanos) {
    synchronized (lock) {
      if (instance != null && nowNanos - lastRenewedNanos > expiry.toNanos()) {
        LOGGER.log(
            Level.WARNING,
            "announcement of upstream {0} expired without renewal",
            instance.address());
        var unused = removeInstance();
      }
    }
  }

  /** Ignores all further announcements, because the node is stopping. */
  void rejectAnnouncements() {
    synchronized (lock) {
      rejecting = true;
    }
  }

  private CompletableFuture<Void> removeInstance() {
    instance = null;
    membership.withdrawUpstream();
    var unused = server.beginDrain(clock.getAsLong());
    return server.afterPendingTasks();
  }
}
