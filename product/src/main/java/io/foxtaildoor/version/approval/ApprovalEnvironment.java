package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.process.audit.AuditTrail;
import io.foxtaildoor.process.platform.PlatformClient;
import io.foxtaildoor.process.platform.PlatformReads;
import io.foxtaildoor.process.platform.SettledWriter;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import java.util.UUID;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * What the approval service gets from the node.
 *
 * @param worker runs checks, which take milliseconds, so it is not an event loop
 * @param epochMillis the wall clock, for records and limits
 * @param random safe for use by several threads and seeded differently in each process
 * @param held the configuration in force on the node
 */
public record ApprovalEnvironment(
    PlatformClient platform,
    AuditTrail audit,
    TaskScheduler scheduler,
    Executor worker,
    LongSupplier epochMillis,
    RandomGenerator random,
    Supplier<ConfigurationSnapshot> held) {
  PlatformReads reads() {
    return new PlatformReads(platform, worker);
  }

  SettledWriter writer() {
    return new SettledWriter(platform, scheduler);
  }

  /** Makes an id that no other write has. */
  String uniqueId() {
    return new UUID(random.nextLong(), random.nextLong()).toString();
  }
}
