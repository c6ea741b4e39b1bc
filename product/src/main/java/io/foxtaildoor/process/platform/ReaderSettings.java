package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.SettingsCheck;
import java.time.Duration;

/**
 * Settings of the reader election and the configuration reader.
 *
 * @param slots number of reader leases in each data centre
 * @param candidates number of nodes of a data centre, the first in rendezvous order, that try to
 *     acquire a lease
 * @param leaseTime time to live of a lease, which is renewed after a third of it
 * @param maxStartDelay upper bound of the random delay before the first call to the platform
 * @param watchWait maximum time that one watch of the configuration head waits for a change
 * @param contacts maximum number of contact addresses kept for each data centre
 * @param contactsInterval time between checks of the published contact addresses
 * @param parallelFetches number of parts fetched from the platform concurrently
 */
public record ReaderSettings(
    int slots,
    int candidates,
    Duration leaseTime,
    Duration maxStartDelay,
    Duration watchWait,
    int contacts,
    Duration contactsInterval,
    int parallelFetches) {
  /** Validates the values. */
  public ReaderSettings {
    SettingsCheck.requireAtLeast("slots", slots, 1);
    SettingsCheck.requireAtLeast("candidates", candidates, slots);
    SettingsCheck.requirePositive("leaseTime", leaseTime);
    SettingsCheck.require(!maxStartDelay.isNegative(), "maxStartDelay must not be negative");
    SettingsCheck.requirePositive("watchWait", watchWait);
    SettingsCheck.requireAtLeast("contacts", contacts, 1);
    SettingsCheck.requirePositive("contactsInterval", contactsInterval);
    SettingsCheck.requireAtLeast("parallelFetches", parallelFetches, 1);
  }

  /** Returns the default settings. */
  public static ReaderSettings defaults() {
    return new ReaderSettings(
        2,
        4,
        Duration.ofSeconds(10),
        Duration.ofSeconds(5),
        Duration.ofSeconds(30),
        4,
        Duration.ofSeconds(60),
        4);
  }
}
