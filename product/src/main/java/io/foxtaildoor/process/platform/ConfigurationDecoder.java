package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.version.manifest.Manifest;
import java.util.Map;

/**
 * Decodes the configuration that an operator has written to the platform in the platform's own
 * format.
 */
@FunctionalInterface
public interface ConfigurationDecoder {
  /**
   * A complete configuration version.
   *
   * @param parts content of every part listed in the manifest, by digest
   */
  record Decoded(Manifest manifest, Map<Digest, byte[]> parts) {}

  /**
   * Decodes a configuration document.
   *
   * @throws io.foxtaildoor.common.FoxtaildoorException with {@link
   *     io.foxtaildoor.common.ErrorKind#BAD_CONFIGURATION} if the document is malformed
   */
  Decoded decode(byte[] document);
}
