package io.foxtaildoor.process.platform;

/**
 * A key's value at a revision.
 *
 * @param revision grows with each write; {@link KeyValueStore#ABSENT_REVISION} when absent
 * @param observedRevision revision up to which nothing else happened to the key, to watch from
 */
@SuppressWarnings("ArrayRecordComponent") // The value is handed on, never compared.
public record PlatformEntry(String key, long revision, byte[] value, long observedRevision) {
  /** Creates an entry of a platform whose revisions are counted for each key. */
  public PlatformEntry(String key, long revision, byte[] value) {
    this(key, revision, value, revision);
  }

  /** Whether the key exists. */
  public boolean exists() {
    return revision != KeyValueStore.ABSENT_REVISION;
  }
}
