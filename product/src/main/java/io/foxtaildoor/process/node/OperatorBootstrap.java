package io.foxtaildoor.process.node;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.process.audit.AuditSettings;
import io.foxtaildoor.process.audit.AuditTrail;
import io.foxtaildoor.process.platform.HttpPlatformClient;
import io.foxtaildoor.process.platform.PlatformClient;
import io.foxtaildoor.process.settings.Settings;
import io.foxtaildoor.version.approval.ApprovalEnvironment;
import io.foxtaildoor.version.approval.ApprovalService;
import io.foxtaildoor.version.approval.ApprovalSettings;
import io.foxtaildoor.version.approval.Operator;
import io.foxtaildoor.version.approval.OperatorResult;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Creates operators directly on the platform, without a running node. */
public final class OperatorBootstrap {
  private static final Duration AUDIT_FLUSH_TIMEOUT = Duration.ofSeconds(5);

  private OperatorBootstrap() {}

  /** Creates an operator and records this in the audit trail. Blocks until both are done. */
  public static OperatorResult<Operator> createOperator(
      Settings settings, Operator operator, Digest tokenHash) {
    EventLoopGroup eventLoops = EventLoops.create(1);
    ExecutorService worker = Executors.newSingleThreadExecutor();
    try (HttpPlatformClient client =
        new HttpPlatformClient(
            new ModuleSettings(settings).platform(),
            eventLoops,
            System::nanoTime,
            EventLoops.newRandom(),
            new SimpleMeterRegistry())) {
      return create(client.interactive(), eventLoops, worker, operator, tokenHash);
    } finally {
      worker.shutdown();
      EventLoops.shutdown(eventLoops);
    }
  }

  private static OperatorResult<Operator> create(
      PlatformClient platform,
      EventLoopGroup eventLoops,
      ExecutorService worker,
      Operator operator,
      Digest tokenHash) {
    AuditTrail audit =
        new AuditTrail(platform, TaskScheduler.on(eventLoops), AuditSettings.defaults());
    ApprovalService service =
        new ApprovalService(
            new ApprovalEnvironment(
                platform,
                audit,
                TaskScheduler.on(eventLoops),
                worker,
                System::currentTimeMillis,
                EventLoops.newRandom(),
                () -> ConfigurationSnapshot.EMPTY),
            ApprovalSettings.defaults(),
            (manifest, parts) -> {});
    OperatorResult<Operator> result = service.bootstrap(operator, tokenHash).join();
    audit
        .flush()
        .completeOnTimeout(null, AUDIT_FLUSH_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .join();
    return result;
  }
}
