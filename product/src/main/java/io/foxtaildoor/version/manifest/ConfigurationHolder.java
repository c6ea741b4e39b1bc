package io.foxtaildoor.version.manifest;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.process.invariant.Invariant;
import io.foxtaildoor.process.invariant.Invariants;
import io.foxtaildoor.version.routing.Route;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Holds a node's current configuration, which is replaced atomically and only by a newer version.
 */
public final class ConfigurationHolder {
  private final Invariants invariants;
  private final List<Consumer<ConfigurationSnapshot>> listeners = new CopyOnWriteArrayList<>();
  private final Object lock = new Object();
  private volatile ConfigurationSnapshot current = ConfigurationSnapshot.EMPTY;
  private volatile ApplyResult.Rejected lastRejection;

  /** Creates a holder that starts with the empty configuration. */
  public ConfigurationHolder(Invariants invariants) {
    this.invariants = invariants;
  }

  /** Returns the current configuration. */
  public ConfigurationSnapshot current() {
    return current;
  }

  /** Returns the most recent rejection of an offered version that failed its checks, if any. */
  public Optional<ApplyResult.Rejected> lastRejection() {
    return Optional.ofNullable(lastRejection);
  }

  /** Registers a listener that is called after each applied version, in ascending version order. */
  public void addListener(Consumer<ConfigurationSnapshot> listener) {
    listeners.add(listener);
  }

  /**
   * Checks an offered version and applies it as a whole. If a check fails, nothing is changed.
   *
   * @param parts the contents of all parts in the manifest, by digest
   * @param announced the version number and digest under which the version was announced
   */
  public ApplyResult offer(VersionStamp announced, Manifest manifest, Map<Digest, byte[]> parts) {
    synchronized (lock) {
      VersionStamp held = current.stamp();
      if (!announced.isNewerThan(held)) {
        return new ApplyResult.NotNewer(held);
      }
      if (!announced.equals(manifest.stamp())) {
        return reject(announced, "the manifest does not have the announced version and digest");
      }
      try {
        apply(ConfigurationSnapshot.build(manifest, parts, current));
      } catch (FoxtaildoorException e) {
        return reject(announced, e.getMessage());
      }
      return new ApplyResult.Applied(current);
    }
  }

  private ApplyResult reject(VersionStamp offered, String reason) {
    ApplyResult.Rejected rejection = new ApplyResult.Rejected(offered, reason);
    lastRejection = rejection;
    return rejection;
  }

  private void apply(ConfigurationSnapshot next) {
    ConfigurationSnapshot previous = current;
    invariants.check(
        Invariant.VERSION_MONOTONIC,
        next.stamp().isNewerThan(previous.stamp()),
        () -> previous.stamp() + " replaced by " + next.stamp());
    invariants.check(
        Invariant.VERSION_WHOLE,
        next.manifest().entries().values().stream()
            .allMatch(digest -> next.part(digest).isPresent()),
        () -> next.stamp() + " lacks parts");
    ServiceId lastResolved = null;
    for (Route route : next.routes().routes()) {
      // Most routes of a part target the same service, so this skips most of the lookups.
      if (route.service().equals(lastResolved)) {
        continue;
      }
      invariants.check(
          Invariant.ROUTES_RESOLVE,
          next.routes().service(route.service()).isPresent(),
          () -> next.stamp() + " lacks service " + route.service());
      lastResolved = route.service();
    }
    current = next;
    listeners.forEach(listener -> listener.accept(next));
  }
}
