package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.version.manifest.ApplyResult;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.manifest.Manifest;
import java.util.Map;

/**
 * Receives configuration versions that have been published on the platform. The distributor
 * implements it.
 */
public interface PublishedConfigurationReceiver {
  /** Returns the configuration that the node currently holds. */
  ConfigurationSnapshot held();

  /** Offers a published version with all its parts and returns whether it was applied. */
  ApplyResult onPublished(Manifest manifest, Map<Digest, byte[]> parts);
}
