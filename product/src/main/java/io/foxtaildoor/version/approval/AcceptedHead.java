package io.foxtaildoor.version.approval;

import com.google.protobuf.InvalidProtocolBufferException;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.platform.PlatformEntry;
import io.foxtaildoor.protocol.ConfigurationHead;
import io.foxtaildoor.version.manifest.Manifest;
import java.util.Arrays;
import java.util.Optional;

/**
 * The head record at a revision of its key.
 *
 * @param keyRevision revision of the platform's key, which the next write expects
 */
record AcceptedHead(long keyRevision, ConfigurationHead record, Manifest manifest) {
  static final String KEY = "head";

  /**
   * Reads a head record; an absent key is the head before the first version.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#BAD_CONFIGURATION} when it is damaged
   */
  static AcceptedHead parse(PlatformEntry entry) {
    if (!entry.exists()) {
      return new AcceptedHead(
          entry.revision(), ConfigurationHead.getDefaultInstance(), Manifest.EMPTY);
    }
    try {
      ConfigurationHead record = ConfigurationHead.parseFrom(entry.value());
      Manifest manifest = Manifest.of(record);
      if (Arrays.equals(manifest.stamp().digest().bytes(), record.getDigest().toByteArray())) {
        return new AcceptedHead(entry.revision(), record, manifest);
      }
    } catch (InvalidProtocolBufferException | FoxtaildoorException e) {
      throw new FoxtaildoorException(
          ErrorKind.BAD_CONFIGURATION, "the head record on the platform is unreadable", e);
    }
    throw new FoxtaildoorException(
        ErrorKind.BAD_CONFIGURATION, "the head record on the platform does not have its digest");
  }

  /** Whether one of the last versions was made by a write. */
  boolean hasRecentWrite(String writeId) {
    return record.getRecentWriteIdsList().contains(writeId);
  }

  long version() {
    return manifest.version();
  }

  Optional<Digest> partDigest(TeamId team) {
    return Optional.ofNullable(manifest.entries().get(team));
  }
}
