package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.SettingsCheck;
import java.time.Duration;

/**
 * Settings of the reader election and the config reader.
 *
 * @param slots leases for each data centre
 * @param candidates nodes of a data centre, first in rendezvous order, that try to get a lease
 * @param leaseTime time to live of a lease; renewed at a third of it
 * @param maxStartDelay longest random wait before the first platform call
 * @param watchWait longest time that one watch of the head waits
 * @param contacts most addresses kept for each data centre
 * @param contactsInterval time between checks of the published addresses
 * @param parallelFetches parts fetched from the platform at one time
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
  /** Checks the values. */
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

  /** The usual settings. */
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
