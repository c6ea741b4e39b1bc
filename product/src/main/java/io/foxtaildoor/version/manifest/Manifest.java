package io.foxtaildoor.version.manifest;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.ConfigurationHead;
import io.foxtaildoor.protocol.ManifestEntry;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/** Immutable list of the digests of all teams' parts in one configuration version. */
public final class Manifest {
  /** The empty manifest that stands for the state before the first version. */
  public static final Manifest EMPTY =
      new Manifest(VersionStamp.NONE, Collections.emptySortedMap());

  private final VersionStamp stamp;
  private final SortedMap<TeamId, Digest> entries;

  private Manifest(VersionStamp stamp, SortedMap<TeamId, Digest> entries) {
    this.stamp = stamp;
    this.entries = entries;
  }

  /** Creates the manifest of a version and computes its digest. */
  public static Manifest of(long version, SortedMap<TeamId, Digest> entries) {
    SortedMap<TeamId, Digest> copy = Collections.unmodifiableSortedMap(new TreeMap<>(entries));
    return new Manifest(new VersionStamp(version, computeDigest(version, copy)), copy);
  }

  /**
   * Creates a manifest from the entries of a head record. The digest is computed from the entries
   * and not taken from the record.
   */
  public static Manifest of(ConfigurationHead head) {
    SortedMap<TeamId, Digest> entries = new TreeMap<>();
    for (ManifestEntry entry : head.getEntriesList()) {
      entries.put(new TeamId(entry.getTeam()), Digest.ofBytes(entry.getDigest().toByteArray()));
    }
    return of(head.getVersion(), entries);
  }

  private static Digest computeDigest(long version, SortedMap<TeamId, Digest> entries) {
    MessageDigest sha = Digest.sha256();
    sha.update(ByteBuffer.allocate(Long.BYTES).putLong(0, version));
    entries.forEach(
        (team, digest) -> {
          sha.update(team.value().getBytes(StandardCharsets.UTF_8));
          sha.update((byte) 0);
          sha.update(digest.bytes());
        });
    return Digest.ofBytes(sha.digest());
  }

  public VersionStamp stamp() {
    return stamp;
  }

  public long version() {
    return stamp.version();
  }

  public SortedMap<TeamId, Digest> entries() {
    return entries;
  }
}
