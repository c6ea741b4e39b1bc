package io.foxtaildoor.process.node;

import static io.foxtaildoor.process.settings.NodeSettings.ADDRESS;
import static io.foxtaildoor.process.settings.NodeSettings.DRAIN_TIMEOUT;

import io.foxtaildoor.process.audit.AuditSettings;
import io.foxtaildoor.process.audit.AuditTrail;
import io.foxtaildoor.process.operator.ApplicationAudit;
import io.foxtaildoor.process.operator.ApprovalResources;
import io.foxtaildoor.process.operator.ConfigurationResources;
import io.foxtaildoor.process.operator.OperatorRouter;
import io.foxtaildoor.process.operator.UpstreamResource;
import io.foxtaildoor.version.approval.ApprovalEnvironment;
import io.foxtaildoor.version.approval.ApprovalService;
import io.foxtaildoor.version.approval.ApprovalSettings;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** A platform with the product's own interface: questionnaires, approval and audit trail. */
final class StandardServices implements PlatformServices {
  /** What closes at the bound of the settings needs a moment more. */
  private static final Duration DRAIN_MARGIN = Duration.ofSeconds(5);

  private final NodeContext context;
  private StandardSide side;
  private AuditTrail audit;

  StandardServices(NodeContext context) {
    this.context = context;
  }

  @Override
  public RequestProfile profile() {
    return RequestProfile.standard(context.settings(), context.live());
  }

  @Override
  public PlatformSide createSide(ControlPlane control) {
    side =
        new StandardSide(
            context, control.membership(), control.distributor(), control.controlThread());
    return side;
  }

  @Override
  public void open(
      OperatorRouter router, ControlPlane control, LocalUpstream upstream, BooleanSupplier ready) {
    audit =
        new AuditTrail(
            side.platform().interactive(), context.scheduler(), AuditSettings.defaults());
    ApprovalService approvals =
        new ApprovalService(
            new ApprovalEnvironment(
                side.platform().interactive(),
                audit,
                context.scheduler(),
                context.worker(),
                System::currentTimeMillis,
                context.random(),
                control.holder()::current),
            ApprovalSettings.defaults(),
            control.distributor()::published);
    ConfigurationResources configuration =
        new ConfigurationResources(control.holder()::current, control.membership());
    configuration.register(router);
    ApplicationAudit applications =
        new ApplicationAudit(
            configuration,
            audit::record,
            context.scheduler(),
            System::currentTimeMillis,
            () -> UUID.randomUUID().toString());
    new ApprovalResources(approvals, applications::trackApproval).register(router);
    new UpstreamResource(context.settings().get(ADDRESS), upstream).register(router);
  }

  @Override
  public CompletableFuture<Void> announceStop() {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public Duration drainLimit() {
    return context.settings().get(DRAIN_TIMEOUT).plus(DRAIN_MARGIN);
  }

  @Override
  public CompletableFuture<?> flush() {
    return audit.flush();
  }

  @Override
  public void close() {
    audit.close();
  }
}
