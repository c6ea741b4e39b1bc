package io.foxtaildoor.process.platform;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.version.manifest.Manifest;
import java.util.Map;

/** Reads a configuration that an operator wrote to the platform in the platform's own form. */
@FunctionalInterface
public interface ConfigurationDecoder {
  /**
   * A whole version.
   *
   * @param parts the bytes of all parts of the manifest by digest
   */
  record Decoded(Manifest manifest, Map<Digest, byte[]> parts) {}

  /**
   * Reads a document.
   *
   * @throws io.foxtaildoor.common.FoxtaildoorException with {@link
   *     io.foxtaildoor.common.ErrorKind#BAD_CONFIGURATION} when it is malformed
   */
  Decoded decode(byte[] document);
}
