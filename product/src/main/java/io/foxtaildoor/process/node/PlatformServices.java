package io.foxtaildoor.process.node;

import io.foxtaildoor.process.operator.OperatorRouter;
import io.foxtaildoor.process.settings.Settings;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** The parts of a node that depend on the platform it runs on. */
interface PlatformServices {
  /**
   * Checks settings that the platform gives a meaning to.
   *
   * @throws io.foxtaildoor.common.FoxtaildoorException when a value cannot be used
   */
  default void validate(Settings settings) {}

  /** How requests are handled. */
  RequestProfile requestProfile();

  /** Creates the side towards the platform. */
  PlatformConnector createConnector(ControlPlane control);

  /**
   * Adds resources to the operator interface and starts listeners of its own.
   *
   * @param ready whether the node takes callers
   */
  void openResources(
      OperatorRouter router, ControlPlane control, LocalUpstream upstream, BooleanSupplier ready);

  /** Completes when callers have had time to learn that the node stops; called first at a stop. */
  CompletableFuture<Void> awaitStopNotice();

  /** Longest time for finishing requests after that. */
  Duration drainTimeout();

  /** Completes when what is to be kept is on the platform; called after the last request. */
  CompletableFuture<?> flush();

  /** Closes the listeners. */
  void close();
}
