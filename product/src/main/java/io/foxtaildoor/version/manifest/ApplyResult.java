package io.foxtaildoor.version.manifest;

/** Result of offering a configuration version to a {@link ConfigurationHolder}. */
public sealed interface ApplyResult {
  /** The offered version was applied and is now the node's current configuration. */
  record Applied(ConfigurationSnapshot configuration) implements ApplyResult {}

  /** The node already has the offered version or a newer one; nothing was changed. */
  record NotNewer(VersionStamp held) implements ApplyResult {}

  /** The offered version failed its checks; nothing was changed. */
  record Rejected(VersionStamp offered, String reason) implements ApplyResult {}
}
