package io.foxtaildoor.version.manifest;

import com.google.protobuf.ByteString;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.protocol.HeldVersion;

/** Number and digest of a configuration version; versions begin at 1. */
public record VersionStamp(long version, Digest digest) {
  /** Stands for no version. */
  public static final VersionStamp NONE = new VersionStamp(0, Digest.ofBytes(new byte[32]));

  /** Reads the wire form; an absent or malformed one gives {@link #NONE}. */
  public static VersionStamp of(HeldVersion message) {
    if (message.getVersion() <= 0 || message.getDigest().size() != Digest.BYTES) {
      return NONE;
    }
    return new VersionStamp(
        message.getVersion(), Digest.ofBytes(message.getDigest().toByteArray()));
  }

  /** Returns the wire form. */
  public HeldVersion toMessage() {
    return HeldVersion.newBuilder()
        .setVersion(version)
        .setDigest(ByteString.copyFrom(digest.bytes()))
        .build();
  }

  /** Whether this version is newer than another. */
  public boolean isNewerThan(VersionStamp other) {
    return version > other.version;
  }
}
