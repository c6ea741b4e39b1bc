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
 * Puts one version together from what a source sends. Every digest is checked here, so that data
 * damaged by the source is told apart from a version that is itself invalid.
 */
final class PullSession {
  /** Bounds a request to 34 kB. */
  private static final int MAX_REQUESTED_PARTS = 1_000;

  private final ConfigurationSnapshot base;
  private final Map<Digest, byte[]> parts = new HashMap<>();
  private final Set<Digest> missing = new LinkedHashSet<>();
  private Manifest manifest = Manifest.EMPTY;
  private VersionStamp target = VersionStamp.NONE;

  /** Starts from the configuration whose stamp the pull names. */
  PullSession(ConfigurationSnapshot base) {
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

  boolean complete() {
    return missing.isEmpty();
  }

  /**
   * Takes the answer to the pull.
   *
   * @return whether the source has a newer version
   * @throws FoxtaildoorException with {@link ErrorKind#PROTOCOL_VIOLATION} when the answer does not
   *     give the manifest with the digest it names
   */
  boolean update(ConfigurationUpdate update) {
    target = VersionStamp.of(update.getTarget());
    if (!target.isNewerThan(base.stamp())) {
      return false;
    }
    boolean whole = update.getBaseVersion() == 0;
    check(
        whole || update.getBaseVersion() == base.stamp().version(),
        "the difference is for another version");
    SortedMap<TeamId, Digest> entries =
        whole ? new TreeMap<>() : new TreeMap<>(base.manifest().entries());
    update.getRemovedTeamsList().forEach(team -> entries.remove(new TeamId(team)));
    for (ManifestEntry entry : update.getChangedList()) {
      entries.put(new TeamId(entry.getTeam()), digest(entry.getDigest()));
    }
    manifest = Manifest.of(target.version(), entries);
    check(manifest.stamp().equals(target), "the manifest does not have its digest");
    for (Digest digest : entries.values()) {
      base.part(digest).ifPresentOrElse(p -> parts.put(digest, p), () -> missing.add(digest));
    }
    take(update.getPartsList());
    return true;
  }

  /** Asks for parts that are missing still. */
  PartRequest request() {
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
  void parts(PartResponse response) {
    int before = missing.size();
    take(response.getPartsList());
    check(missing.size() < before, "the source lacks a part of its version");
  }

  private void take(List<PartBytes> received) {
    for (PartBytes part : received) {
      Digest named = digest(part.getDigest());
      byte[] content = part.getContent().toByteArray();
      check(Digest.of(content).equals(named), "a part does not have its digest");
      if (missing.remove(named)) {
        parts.put(named, content);
      }
    }
  }

  private static Digest digest(ByteString bytes) {
    check(bytes.size() == Digest.BYTES, "a digest is malformed");
    return Digest.ofBytes(bytes.toByteArray());
  }

  private static void check(boolean condition, String message) {
    if (!condition) {
      throw new FoxtaildoorException(ErrorKind.PROTOCOL_VIOLATION, message);
    }
  }
}
