package io.foxtaildoor.version.manifest;

/** What became of an offered version. */
public sealed interface ApplyResult {
  /** The version is now held. */
  record Applied(ConfigurationSnapshot configuration) implements ApplyResult {}

  /** The version is held already or an older one; nothing changed. */
  record NotNewer(VersionStamp held) implements ApplyResult {}

  /** The version failed its checks; nothing changed. */
  record Rejected(VersionStamp offered, String reason) implements ApplyResult {}
}
