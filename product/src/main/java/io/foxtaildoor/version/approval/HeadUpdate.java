package io.foxtaildoor.version.approval;

import com.google.protobuf.ByteString;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.platform.PlatformClient;
import io.foxtaildoor.protocol.Approval;
import io.foxtaildoor.protocol.ConfigurationHead;
import io.foxtaildoor.protocol.ManifestEntry;
import io.foxtaildoor.protocol.RetiredPart;
import io.foxtaildoor.version.manifest.Manifest;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/** The next head record, which replaces the current one when a part is accepted. */
@SuppressWarnings("ArrayRecordComponent") // Instances are never compared with equals.
record HeadUpdate(Manifest manifest, byte[] content) {
  /**
   * Number of recent versions whose write ids the head keeps. The outcome of a write is determined
   * within seconds, and far fewer versions are created in that time.
   */
  private static final int MAX_RECENT_WRITE_IDS = 32;

  /**
   * Creates the next head.
   *
   * @param removedParts retired parts to drop from the list of retired parts
   * @throws FoxtaildoorException with {@link ErrorKind#BAD_CONFIGURATION} when the record would
   *     exceed the size limit of a platform value
   */
  static HeadUpdate next(
      AcceptedHead head,
      TeamId team,
      Digest partDigest,
      Approval approval,
      Set<Digest> removedParts) {
    SortedMap<TeamId, Digest> entries = new TreeMap<>(head.manifest().entries());
    Digest replacedPart = entries.put(team, partDigest);
    Manifest manifest = Manifest.of(head.version() + 1, entries);
    ConfigurationHead.Builder next =
        ConfigurationHead.newBuilder()
            .setVersion(manifest.version())
            .setDigest(toByteString(manifest.stamp().digest()))
            .setPreviousDigest(toByteString(head.manifest().stamp().digest()))
            .setApproval(approval);
    entries.forEach(
        (id, digest) ->
            next.addEntries(
                ManifestEntry.newBuilder().setTeam(id.value()).setDigest(toByteString(digest))));
    for (RetiredPart retired : head.record().getRetiredPartsList()) {
      Digest digest = Digest.ofBytes(retired.getDigest().toByteArray());
      // A retired part that is accepted again must not be removed later.
      if (!digest.equals(partDigest) && !removedParts.contains(digest)) {
        next.addRetiredParts(retired);
      }
    }
    if (replacedPart != null) {
      next.addRetiredParts(
          RetiredPart.newBuilder()
              .setDigest(toByteString(replacedPart))
              .setRetiredAtVersion(manifest.version()));
    }
    List<String> recentWriteIds = head.record().getRecentWriteIdsList();
    next.addAllRecentWriteIds(
            recentWriteIds.subList(
                Math.max(0, recentWriteIds.size() - MAX_RECENT_WRITE_IDS + 1),
                recentWriteIds.size()))
        .addRecentWriteIds(approval.getWriteId());
    byte[] content = next.build().toByteArray();
    if (content.length > PlatformClient.MAX_VALUE_BYTES) {
      throw new FoxtaildoorException(
          ErrorKind.BAD_CONFIGURATION,
          "the head record would exceed the value size limit of the platform;"
              + " there are too many teams");
    }
    return new HeadUpdate(manifest, content);
  }

  private static ByteString toByteString(Digest digest) {
    return ByteString.copyFrom(digest.bytes());
  }
}
