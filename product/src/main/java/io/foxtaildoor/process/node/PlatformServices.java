package io.foxtaildoor.process.node;

import io.foxtaildoor.process.operator.OperatorRouter;
import io.foxtaildoor.process.settings.Settings;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** The functions of a node that depend on the platform on which it runs. */
interface PlatformServices {
  /**
   * Validates the settings whose values the platform defines.
   *
   * @throws io.foxtaildoor.common.FoxtaildoorException when a value is invalid
   */
  default void validate(Settings settings) {}

  /** Returns the settings for handling requests on this platform. */
  RequestProfile requestProfile();

  /** Creates the connector to the platform. Called before {@link #openResources}. */
  PlatformConnector createConnector(ControlPlane control);

  /**
   * Registers the resources of the operator interface and starts the listeners that only this
   * platform needs.
   *
   * @param ready whether the node is ready for callers
   */
  void openResources(
      OperatorRouter router, ControlPlane control, LocalUpstream upstream, BooleanSupplier ready);

  /** Returns the times of a planned stop that begins now. */
  StopSchedule stopSchedule();

  /**
   * Completes when all data that must be kept has been written to the platform. Called after the
   * last request.
   */
  CompletableFuture<?> flush();

  /** Closes what {@link #openResources} opened. */
  void close();
}
