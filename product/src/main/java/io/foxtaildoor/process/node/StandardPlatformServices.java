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

/**
 * Services of a node on a platform with the product's own interface: questionnaires, approvals and
 * the audit trail.
 */
final class StandardPlatformServices implements PlatformServices {
  private final NodeContext context;
  private StandardPlatformConnector connector;
  private AuditTrail audit;

  StandardPlatformServices(NodeContext context) {
    this.context = context;
  }

  @Override
  public RequestProfile requestProfile() {
    return RequestProfile.standard(context.settings(), context.liveSettings());
  }

  @Override
  public PlatformConnector createConnector(ControlPlane control) {
    connector =
        new StandardPlatformConnector(
            context, control.membership(), control.distributor(), control.controlThread());
    return connector;
  }

  @Override
  public void openResources(
      OperatorRouter router, ControlPlane control, LocalUpstream upstream, BooleanSupplier ready) {
    audit =
        new AuditTrail(
            connector.platform().interactive(), context.scheduler(), AuditSettings.defaults());
    ApprovalService approvals =
        new ApprovalService(
            new ApprovalEnvironment(
                connector.platform().interactive(),
                audit,
                context.scheduler(),
                context.worker(),
                System::currentTimeMillis,
                context.random(),
                control.holder()::current),
            ApprovalSettings.defaults(),
            control.distributor()::onPublished);
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
  public StopSchedule stopSchedule() {
    return new StopSchedule(Duration.ZERO, context.settings().get(DRAIN_TIMEOUT));
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
