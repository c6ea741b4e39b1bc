package io.foxtaildoor.process.platform;

/**
 * A key's value at a revision.
 *
 * @param revision grows with each write; {@link PlatformClient#ABSENT_REVISION} when absent
 */
@SuppressWarnings("ArrayRecordComponent") // The value is handed on, never compared.
public record PlatformEntry(String key, long revision, byte[] value) {
  /** Whether the key exists. */
  public boolean exists() {
    return revision != PlatformClient.ABSENT_REVISION;
  }
}
