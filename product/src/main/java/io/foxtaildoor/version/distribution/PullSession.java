package io.foxtaildoor.version.distribution;

import com.google.protobuf.ByteString;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.ConfigurationUpdate;
import io.foxtaildoor.protocol.ManifestEntry;
import io.foxtaildoor.protocol.PartBytes;
import io.foxtaildoor.protocol.PartRequest;
import io.foxtaildoor.protocol.PartResponse;
import io.foxtaildoor.version.manifest.ConfigurationSnapshot;
import io.foxtaildoor.version.manifest.Manifest;
import io.foxtaildoor.version.manifest.VersionStamp;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Assembles one version from the answers of a source. Verifies every digest, so that data damaged
 * by the source can be distinguished from a version that is itself invalid.
 */
final class PullSession {
  /** Maximum number of parts in one request; limits the request to 34 kB. */
  private static final int MAX_REQUESTED_PARTS = 1_000;

  private final ConfigurationSnapshot base;
  private final Map<Digest, byte[]> parts = new HashMap<>();
  private final Set<Digest> missing = new LinkedHashSet<>();
  private Manifest manifest = Manifest.EMPTY;
  private VersionStamp target = VersionStamp.NONE;

  /** Creates a session based on the configuration whose stamp was sent with the pull. */
  PullSession(ConfigurationSnapshot base) {
    this.base = base;
  }

  /** Returns the version that the source holds. */
  VersionStamp target() {
    return target;
  }

  Manifest manifest() {
    return manifest;
  }

  Map<Digest, byte[]> parts() {
    return parts;
  }

  boolean isComplete() {
    return missing.isEmpty();
  }

  /**
   * Processes the answer to the pull.
   *
   * @return whether the source holds a newer version than the base configuration
   * @throws FoxtaildoorException with {@link ErrorKind#PROTOCOL_VIOLATION} when the manifest built
   *     from the answer does not match the digest in the answer
   */
  boolean applyUpdate(ConfigurationUpdate update) {
    target = VersionStamp.of(update.getTarget());
    if (!target.isNewerThan(base.stamp())) {
      return false;
    }
    boolean isWhole = update.getBaseVersion() == 0;
    checkProtocol(
        isWhole || update.getBaseVersion() == base.stamp().version(),
        "the difference is relative to a version that this node did not name");
    SortedMap<TeamId, Digest> entries =
        isWhole ? new TreeMap<>() : new TreeMap<>(base.manifest().entries());
    update.getRemovedTeamsList().forEach(team -> entries.remove(new TeamId(team)));
    for (ManifestEntry entry : update.getChangedList()) {
      entries.put(new TeamId(entry.getTeam()), parseDigest(entry.getDigest()));
    }
    manifest = Manifest.of(target.version(), entries);
    checkProtocol(manifest.stamp().equals(target), "the manifest does not match its digest");
    for (Digest digest : entries.values()) {
      base.part(digest).ifPresentOrElse(p -> parts.put(digest, p), () -> missing.add(digest));
    }
    addReceivedParts(update.getPartsList());
    return true;
  }

  /** Creates a request for parts that are still missing. */
  PartRequest nextPartRequest() {
    PartRequest.Builder request = PartRequest.newBuilder();
    missing.stream()
        .limit(MAX_REQUESTED_PARTS)
        .forEach(digest -> request.addDigests(ByteString.copyFrom(digest.bytes())));
    return request.build();
  }

  /**
   * Processes the answer to a part request.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#PROTOCOL_VIOLATION} when a part does not
   *     match its digest or the answer contains none of the missing parts
   */
  void addParts(PartResponse response) {
    int missingBefore = missing.size();
    addReceivedParts(response.getPartsList());
    checkProtocol(
        missing.size() < missingBefore, "the source sent none of the missing parts of its version");
  }

  private void addReceivedParts(List<PartBytes> received) {
    for (PartBytes part : received) {
      Digest digest = parseDigest(part.getDigest());
      byte[] content = part.getContent().toByteArray();
      checkProtocol(Digest.of(content).equals(digest), "a part does not match its digest");
      if (missing.remove(digest)) {
        parts.put(digest, content);
      }
    }
  }

  private static Digest parseDigest(ByteString bytes) {
    checkProtocol(bytes.size() == Digest.BYTES, "the length of a digest is wrong");
    return Digest.ofBytes(bytes.toByteArray());
  }

  private static void checkProtocol(boolean condition, String message) {
    if (!condition) {
      throw new FoxtaildoorException(ErrorKind.PROTOCOL_VIOLATION, message);
    }
  }
}
