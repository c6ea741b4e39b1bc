package io.foxtaildoor.version.distribution;

import com.google.protobuf.ByteString;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.ConfigurationUpdate;
import io.foxtaildoor.protocol.ManifestEntry;
import io.foxtaildoor.protocol.PartBytes;
import io.foxtaildoor.protocol.PartRequest;
import io.foxtaildoor.protocol.PartResponse;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.manifest.Manifest;
import io.foxtaildoor.version.manifest.VersionStamp;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Answers configuration pulls and part requests from the version held, within the frame size limit.
 */
final class PullResponder {
  /**
   * Allowance for the field headers and digest of one part, and for the fields of the enclosing
   * frame.
   */
  private static final int OVERHEAD_BYTES = 64;

  private final int maxFrameBytes;

  PullResponder(int maxFrameBytes) {
    this.maxFrameBytes = maxFrameBytes;
  }

  /**
   * Builds the answer to a pull: the difference from the receiver's version if the log contains
   * that version, otherwise the whole manifest. Parts that do not fit into the frame are omitted,
   * and so are all parts of a whole manifest when the receiver holds an earlier version. The
   * receiver requests the parts that it lacks.
   */
  ConfigurationUpdate answerPull(
      VersionStamp receiverStamp, ConfigurationSnapshot held, DeltaLog deltaLog) {
    ConfigurationUpdate.Builder update =
        ConfigurationUpdate.newBuilder().setTarget(held.stamp().toMessage());
    if (!held.stamp().isNewerThan(receiverStamp)) {
      return update.setBaseVersion(receiverStamp.version()).build();
    }
    Optional<Set<TeamId>> changedTeams = deltaLog.teamsChangedSince(receiverStamp);
    boolean isDifference = changedTeams.isPresent();
    if (isDifference) {
      update.setBaseVersion(receiverStamp.version());
      update.setPreviousDigest(ByteString.copyFrom(receiverStamp.digest().bytes()));
    }
    Set<Digest> changedParts =
        addEntries(
            update, held.manifest(), changedTeams.orElse(held.manifest().entries().keySet()));
    if (isDifference || receiverStamp.equals(VersionStamp.NONE)) {
      int availableBytes = maxFrameBytes - update.build().getSerializedSize() - OVERHEAD_BYTES;
      addParts(update::addParts, held, changedParts, availableBytes);
    }
    return update.build();
  }

  private static Set<Digest> addEntries(
      ConfigurationUpdate.Builder update, Manifest manifest, Set<TeamId> teams) {
    Set<Digest> changedParts = new LinkedHashSet<>();
    for (TeamId team : new TreeSet<>(teams)) {
      Digest digest = manifest.entries().get(team);
      if (digest == null) {
        update.addRemovedTeams(team.value());
      } else {
        ManifestEntry.Builder entry = ManifestEntry.newBuilder().setTeam(team.value());
        update.addChanged(entry.setDigest(ByteString.copyFrom(digest.bytes())));
        changedParts.add(digest);
      }
    }
    return changedParts;
  }

  /** Builds the answer to a part request from those parts that are held and fit into the frame. */
  PartResponse answerPartRequest(PartRequest request, ConfigurationSnapshot held) {
    Set<Digest> requested = new LinkedHashSet<>();
    for (ByteString digest : request.getDigestsList()) {
      if (digest.size() == Digest.BYTES) {
        requested.add(Digest.ofBytes(digest.toByteArray()));
      }
    }
    PartResponse.Builder response = PartResponse.newBuilder();
    addParts(response::addParts, held, requested, maxFrameBytes - OVERHEAD_BYTES);
    return response.build();
  }

  private static void addParts(
      Consumer<PartBytes> consumer,
      ConfigurationSnapshot held,
      Set<Digest> requested,
      int availableBytes) {
    int remainingBytes = availableBytes;
    for (Digest digest : requested) {
      byte[] content = held.part(digest).orElse(null);
      if (content != null && content.length + OVERHEAD_BYTES <= remainingBytes) {
        remainingBytes -= content.length + OVERHEAD_BYTES;
        PartBytes.Builder part = PartBytes.newBuilder();
        part.setDigest(ByteString.copyFrom(digest.bytes()));
        consumer.accept(part.setContent(ByteString.copyFrom(content)).build());
      }
    }
  }
}
