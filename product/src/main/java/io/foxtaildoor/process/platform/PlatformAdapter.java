package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.process.instance.InstanceReportHandler;
import io.foxtaildoor.process.operator.OperatorRouter;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Adapter to a platform that has its own names and formats. It only translates them into the
 * product's types and makes no decisions.
 */
public interface PlatformAdapter {
  /** Returns the names of the HTTP headers used by callers and upstreams. */
  HeaderDialect headerDialect();

  /** Returns the format of the key-value calls. */
  StoreProtocol storeProtocol();

  /** Returns the key that holds the operator's configuration. */
  String configurationKey();

  /** Returns the decoder of the operator's configuration. */
  ConfigurationDecoder configurationDecoder();

  /**
   * Parses the bounds that the platform sets for a deployment.
   *
   * @param texts the bounds as written in the settings
   * @throws io.foxtaildoor.common.FoxtaildoorException with {@link
   *     io.foxtaildoor.common.ErrorKind#INVALID_INPUT} if one is malformed
   */
  DeploymentBounds parseBounds(List<String> texts);

  /** Registers the calls through which the service instance next to the node reports its state. */
  void registerInstanceReports(OperatorRouter router, InstanceReportHandler reports);

  /**
   * Registers the readiness check, through which the platform asks whether the node accepts
   * callers.
   */
  void registerReadinessCheck(OperatorRouter router, BooleanSupplier ready);
}
