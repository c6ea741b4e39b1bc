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
import io.foxtaildoor.version.manifest.HeldConfiguration;
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
 * Puts one version together from what a source sends. Every digest is checked here, so that data
 * damaged by the source is told apart from a version that is itself invalid.
 */
final class PullSession {
  /** Bounds a request to 34 kB. */
  private static final int MAX_REQUESTED_PARTS = 1_000;

  private final HeldConfiguration base;
  private final Map<Digest, byte[]> parts = new HashMap<>();
  private final Set<Digest> missing = new LinkedHashSet<>();
  private Manifest manifest = Manifest.EMPTY;
  private VersionStamp target = VersionStamp.NONE;

  /** Starts from the configuration whose stamp the pull names. */
  PullSession(HeldConfiguration base) {
    this.base = base;
  }

  /** The version that the source has. */
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
   * Takes the answer to the pull.
   *
   * @return whether the source has a newer version
   * @throws FoxtaildoorException with {@link ErrorKind#PROTOCOL_VIOLATION} when the answer does not
   *     give the manifest with the digest it names
   */
  boolean applyUpdate(ConfigurationUpdate update) {
    target = VersionStamp.of(update.getTarget());
    if (!target.isNewerThan(base.stamp())) {
      return false;
    }
    boolean isWhole = update.getBaseVersion() == 0;
    checkProtocol(
        isWhole || update.getBaseVersion() == base.stamp().version(),
        "the difference is for another version");
    SortedMap<TeamId, Digest> entries =
        isWhole ? new TreeMap<>() : new TreeMap<>(base.manifest().entries());
    update.getRemovedTeamsList().forEach(team -> entries.remove(new TeamId(team)));
    for (ManifestEntry entry : update.getChangedList()) {
      entries.put(new TeamId(entry.getTeam()), parseDigest(entry.getDigest()));
    }
    manifest = Manifest.of(target.version(), entries);
    checkProtocol(manifest.stamp().equals(target), "the manifest does not have its digest");
    for (Digest digest : entries.values()) {
      base.part(digest).ifPresentOrElse(p -> parts.put(digest, p), () -> missing.add(digest));
    }
    addReceivedParts(update.getPartsList());
    return true;
  }

  /** Asks for parts that are missing still. */
  PartRequest nextPartRequest() {
    PartRequest.Builder request = PartRequest.newBuilder();
    missing.stream()
        .limit(MAX_REQUESTED_PARTS)
        .forEach(digest -> request.addDigests(ByteString.copyFrom(digest.bytes())));
    return request.build();
  }

  /**
   * Takes the answer to a part request.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#PROTOCOL_VIOLATION} when a part does not
   *     have its digest or no missing part came
   */
  void addParts(PartResponse response) {
    int before = missing.size();
    addReceivedParts(response.getPartsList());
    checkProtocol(missing.size() < before, "the source lacks a part of its version");
  }

  private void addReceivedParts(List<PartBytes> received) {
    for (PartBytes part : received) {
      Digest digest = parseDigest(part.getDigest());
      byte[] content = part.getContent().toByteArray();
      checkProtocol(Digest.of(content).equals(digest), "a part does not have its digest");
      if (missing.remove(digest)) {
        parts.put(digest, content);
      }
    }
  }

  private static Digest parseDigest(ByteString bytes) {
    checkProtocol(bytes.size() == Digest.BYTES, "a digest is malformed");
    return Digest.ofBytes(bytes.toByteArray());
  }

  private static void checkProtocol(boolean condition, String message) {
    if (!condition) {
      throw new FoxtaildoorException(ErrorKind.PROTOCOL_VIOLATION, message);
    }
  }
}
