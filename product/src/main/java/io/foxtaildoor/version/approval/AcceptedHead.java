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
 * The head record, which lists the accepted parts, as stored on the platform at one revision of its
 * key.
 *
 * @param keyRevision revision of the platform's key; the next write of the head must name it
 */
record AcceptedHead(long keyRevision, ConfigurationHead record, Manifest manifest) {
  static final String KEY = "head";

  /**
   * Parses a head record. An absent key stands for the empty head before the first version.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#BAD_CONFIGURATION} when the record cannot be
   *     parsed or its digest does not match
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
          ErrorKind.BAD_CONFIGURATION, "the head record on the platform cannot be parsed", e);
    }
    throw new FoxtaildoorException(
        ErrorKind.BAD_CONFIGURATION, "the head record on the platform does not match its digest");
  }

  /** Whether the write with this id created one of the most recent versions. */
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
