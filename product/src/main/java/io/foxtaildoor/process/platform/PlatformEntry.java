package io.foxtaildoor.process.platform;

/**
 * The value of a key at a revision.
 *
 * @param revision increases with each write; {@link KeyValueStore#ABSENT_REVISION} if the key is
 *     absent
 * @param observedRevision revision up to which this entry is current; a watch for later changes
 *     starts from it
 */
@SuppressWarnings("ArrayRecordComponent") // Values are only passed on, never compared.
public record PlatformEntry(String key, long revision, byte[] value, long observedRevision) {
  /** Creates an entry of a platform that counts revisions separately for each key. */
  public PlatformEntry(String key, long revision, byte[] value) {
    this(key, revision, value, revision);
  }

  /** Whether the key exists. */
  public boolean exists() {
    return revision != KeyValueStore.ABSENT_REVISION;
  }
}
