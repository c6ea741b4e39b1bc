package io.foxtaildoor.process.node;

import static io.foxtaildoor.process.settings.NodeSettings.PLATFORM_BOUNDS;
import static io.foxtaildoor.process.settings.NodeSettings.READINESS_ENDPOINT;
import static io.foxtaildoor.process.settings.NodeSettings.REPORTS_ENDPOINT;
import static io.foxtaildoor.process.settings.NodeSettings.UPSTREAM_ENDPOINT;
import static io.foxtaildoor.process.settings.NodeSettings.UPSTREAM_SERVICE;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.process.instance.DepartureStore;
import io.foxtaildoor.process.instance.Incarnation;
import io.foxtaildoor.process.instance.InstanceReport;
import io.foxtaildoor.process.instance.InstanceReportHandler;
import io.foxtaildoor.process.operator.ConfigurationResources;
import io.foxtaildoor.process.operator.OperatorListener;
import io.foxtaildoor.process.operator.OperatorRouter;
import io.foxtaildoor.process.platform.PlatformAdapter;
import io.foxtaildoor.process.settings.Setting;
import io.foxtaildoor.process.settings.Settings;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * Services of a node on a managed platform, where operators write the configuration to the platform
 * and each upstream reports to the node on its host.
 */
final class ManagedPlatformServices implements PlatformServices {
  private final NodeContext context;
  private final PlatformAdapter adapter;
  private ManagedPlatformConnector connector;
  private OperatorListener readinessListener;
  private OperatorListener reportsListener;

  ManagedPlatformServices(NodeContext context, PlatformAdapter adapter) {
    this.context = context;
    this.adapter = adapter;
  }

  @Override
  public void validate(Settings settings) {
    adapter.parseBounds(settings.get(PLATFORM_BOUNDS));
  }

  @Override
  public RequestProfile requestProfile() {
    return RequestProfile.managed(
        context.settings(), context.liveSettings(), adapter, context.clock().getAsLong());
  }

  @Override
  public PlatformConnector createConnector(ControlPlane control) {
    connector =
        new ManagedPlatformConnector(
            context,
            adapter,
            control.membership(),
            control.distributor(),
            TaskScheduler.on(control.controlThread()));
    return connector;
  }

  @Override
  public void openResources(
      OperatorRouter router, ControlPlane control, LocalUpstream upstream, BooleanSupplier ready) {
    new ConfigurationResources(control.holder()::current, control.membership()).register(router);
    InetSocketAddress instanceAddress = requiredSetting(UPSTREAM_ENDPOINT);
    InstanceReportHandler reportHandler =
        new InstanceReportHandler(
            instanceAddress,
            context.settings().get(UPSTREAM_SERVICE),
            new LocalUpstreamControl(upstream),
            new DepartureStore(connector.store(), instanceAddress),
            context.scheduler(),
            context.clock());
    OperatorRouter reportsRouter = new OperatorRouter();
    adapter.registerInstanceReports(reportsRouter, reportHandler);
    reportsListener = new OperatorListener(context.eventLoops(), reportsRouter);
    reportsListener.start(requiredSetting(REPORTS_ENDPOINT));
    OperatorRouter readinessRouter = new OperatorRouter();
    adapter.registerReadinessCheck(readinessRouter, ready);
    readinessListener = new OperatorListener(context.eventLoops(), readinessRouter);
    readinessListener.start(requiredSetting(READINESS_ENDPOINT));
  }

  private <T> T requiredSetting(Setting<Optional<T>> setting) {
    return context
        .settings()
        .get(setting)
        .orElseThrow(
            () ->
                new FoxtaildoorException(
                    ErrorKind.INVALID_INPUT, setting.key() + " is required on a managed platform"));
  }

  /** Applies the decisions of the report handler to the local upstream. */
  private record LocalUpstreamControl(LocalUpstream upstream)
      implements InstanceReportHandler.UpstreamControl {
    @Override
    public void activate(InstanceReport report) {
      Duration age = RequestProfile.SLOW_START.minus(report.remainingWarmUp());
      upstream.announce(
          report.incarnation().id().value(),
          report.service(),
          report.address(),
          report.capacity(),
          age.isNegative() ? Duration.ZERO : age);
    }

    @Override
    public CompletableFuture<Void> deactivate(Incarnation incarnation) {
      return upstream.withdrawAndFlush();
    }
  }

  @Override
  public StopSchedule stopSchedule() {
    return StopSchedule.within(
        adapter.parseBounds(context.liveSettings().get(PLATFORM_BOUNDS)).gracePeriod());
  }

  @Override
  public CompletableFuture<?> flush() {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public void close() {
    readinessListener.close();
    reportsListener.close();
  }
}
