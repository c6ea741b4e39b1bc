package io.foxtaildoor.version.manifest;

import com.google.protobuf.ByteString;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.protocol.HeldVersion;

/** Number and digest of a configuration version. Version numbers start at 1. */
public record VersionStamp(long version, Digest digest) {
  /** Stands for the absence of a version. */
  public static final VersionStamp NONE = new VersionStamp(0, Digest.ofBytes(new byte[32]));

  /** Converts a protobuf message; returns {@link #NONE} if the message is unset or malformed. */
  public static VersionStamp of(HeldVersion message) {
    if (message.getVersion() <= 0 || message.getDigest().size() != Digest.BYTES) {
      return NONE;
    }
    return new VersionStamp(
        message.getVersion(), Digest.ofBytes(message.getDigest().toByteArray()));
  }

  /** Converts this stamp to its protobuf message. */
  public HeldVersion toMessage() {
    return HeldVersion.newBuilder()
        .setVersion(version)
        .setDigest(ByteString.copyFrom(digest.bytes()))
        .build();
  }

  /** Returns whether this version is newer than another one. */
  public boolean isNewerThan(VersionStamp other) {
    return version > other.version;
  }
}
