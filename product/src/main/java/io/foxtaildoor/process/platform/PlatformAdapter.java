package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.HeaderDialect;
import io.foxtaildoor.process.instance.InstanceReportHandler;
import io.foxtaildoor.process.operator.OperatorRouter;
import java.util.List;
import java.util.function.BooleanSupplier;

/** How a platform with a manner of its own speaks; translates and decides nothing. */
public interface PlatformAdapter {
  /** Names of the headers that callers and upstreams use. */
  HeaderDialect headers();

  /** Form of the key-value calls. */
  StoreProtocol store();

  /** Key that holds the operator's configuration. */
  String configurationKey();

  /** Reads the operator's configuration. */
  ConfigurationDecoder configuration();

  /**
   * Reads the bounds that the platform sets for a deployment.
   *
   * @param texts as they stand in the settings
   * @throws io.foxtaildoor.common.FoxtaildoorException with {@link
   *     io.foxtaildoor.common.ErrorKind#INVALID_INPUT} when one is malformed
   */
  DeploymentBounds bounds(List<String> texts);

  /** Registers the calls by which the instance beside the node reports itself. */
  void addReports(OperatorRouter router, InstanceReportHandler reports);

  /** Registers the call by which the platform asks whether the node takes callers. */
  void addReadiness(OperatorRouter router, BooleanSupplier ready);
}
