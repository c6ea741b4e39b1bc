package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.version.manifest.ApplyResult;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.manifest.Manifest;
import java.util.Map;

/** Takes versions that the platform has confirmed; implemented by the distributor. */
public interface PublishedConfiguration {
  /** The configuration that the node holds. */
  ConfigurationSnapshot held();

  /** Offers a version with all its parts and gives what became of it. */
  ApplyResult published(Manifest manifest, Map<Digest, byte[]> parts);
}
