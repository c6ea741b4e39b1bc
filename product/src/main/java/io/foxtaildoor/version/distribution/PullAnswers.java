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

/** Builds the answers to pulls and part requests from the held version, within the frame limit. */
final class PullAnswers {
  /** Field headers and the digest of one part, and of the frame around all of them. */
  private static final int OVERHEAD_BYTES = 64;

  private final int maxFrameBytes;

  PullAnswers(int maxFrameBytes) {
    this.maxFrameBytes = maxFrameBytes;
  }

  /**
   * Builds the answer to a pull: the difference to the receiver's version when it is logged, or the
   * whole manifest. Parts that do not fit, and parts of a whole manifest for a receiver that holds
   * some version, are left for the receiver to request.
   */
  ConfigurationUpdate update(VersionStamp receiver, ConfigurationSnapshot held, DeltaLog log) {
    ConfigurationUpdate.Builder update =
        ConfigurationUpdate.newBuilder().setTarget(held.stamp().toMessage());
    if (!held.stamp().isNewerThan(receiver)) {
      return update.setBaseVersion(receiver.version()).build();
    }
    Optional<Set<TeamId>> touched = log.touchedSince(receiver);
    boolean difference = touched.isPresent();
    if (difference) {
      update.setBaseVersion(receiver.version());
      update.setPreviousDigest(ByteString.copyFrom(receiver.digest().bytes()));
    }
    Set<Digest> changed =
        addEntries(update, held.manifest(), touched.orElse(held.manifest().entries().keySet()));
    if (difference || receiver.equals(VersionStamp.NONE)) {
      int room = maxFrameBytes - update.build().getSerializedSize() - OVERHEAD_BYTES;
      addParts(update::addParts, held, changed, room);
    }
    return update.build();
  }

  private static Set<Digest> addEntries(
      ConfigurationUpdate.Builder update, Manifest manifest, Set<TeamId> teams) {
    Set<Digest> changed = new LinkedHashSet<>();
    for (TeamId team : new TreeSet<>(teams)) {
      Digest digest = manifest.entries().get(team);
      if (digest == null) {
        update.addRemovedTeams(team.value());
      } else {
        ManifestEntry.Builder entry = ManifestEntry.newBuilder().setTeam(team.value());
        update.addChanged(entry.setDigest(ByteString.copyFrom(digest.bytes())));
        changed.add(digest);
      }
    }
    return changed;
  }

  /** Builds the answer to a part request with the parts that are held and fit. */
  PartResponse parts(PartRequest request, ConfigurationSnapshot held) {
    Set<Digest> wanted = new LinkedHashSet<>();
    for (ByteString digest : request.getDigestsList()) {
      if (digest.size() == Digest.BYTES) {
        wanted.add(Digest.ofBytes(digest.toByteArray()));
      }
    }
    PartResponse.Builder response = PartResponse.newBuilder();
    addParts(response::addParts, held, wanted, maxFrameBytes - OVERHEAD_BYTES);
    return response.build();
  }

  private static void addParts(
      Consumer<PartBytes> answer, ConfigurationSnapshot held, Set<Digest> wanted, int room) {
    int left = room;
    for (Digest digest : wanted) {
      byte[] content = held.part(digest).orElse(null);
      if (content != null && content.length + OVERHEAD_BYTES <= left) {
        left -= content.length + OVERHEAD_BYTES;
        PartBytes.Builder part = PartBytes.newBuilder();
        part.setDigest(ByteString.copyFrom(digest.bytes()));
        answer.accept(part.setContent(ByteString.copyFrom(content)).build());
      }
    }
  }
}
