package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.process.audit.AuditTrail;
import io.foxtaildoor.process.platform.PlatformClient;
import io.foxtaildoor.process.platform.PlatformReads;
import io.foxtaildoor.process.platform.ReconcilingWriter;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import java.util.UUID;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * The dependencies that the node provides to the approval service.
 *
 * @param worker runs the checks of requests; must not be an event loop, because a check takes
 *     milliseconds
 * @param epochMillis wall clock in milliseconds since the epoch, for timestamps and time limits
 * @param random thread-safe generator, seeded differently in each process so that write ids are
 *     unique
 * @param held supplies the configuration that is in force on the node
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

  ReconcilingWriter writer() {
    return new ReconcilingWriter(platform, scheduler);
  }

  /** Returns a random UUID that identifies one write. */
  String uniqueId() {
    return new UUID(random.nextLong(), random.nextLong()).toString();
  }
}
