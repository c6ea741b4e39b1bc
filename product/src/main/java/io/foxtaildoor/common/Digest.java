package io.foxtaildoor.common;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** A SHA-256 digest as 64 lower-case hexadecimal digits. */
public record Digest(String hex) {
  /** Length in bytes. */
  public static final int BYTES = 32;

  private static final int HEX_DIGITS = 2 * BYTES;

  /**
   * Creates a digest from its text form.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the text is malformed
   */
  public Digest {
    if (hex == null || !isHex(hex)) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT, "a digest must have 64 lower-case hexadecimal digits");
    }
  }

  /**
   * Checks the characters without a regular expression for speed, because a configuration version
   * of 810 teams has as many digests.
   */
  private static boolean isHex(String text) {
    return text.length() == HEX_DIGITS
        && text.chars().allMatch(c -> (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'));
  }

  /** Computes the digest of the given bytes. */
  public static Digest of(byte[] content) {
    return ofBytes(sha256().digest(content));
  }

  /** Wraps the 32 bytes of a digest. */
  public static Digest ofBytes(byte[] digest) {
    return new Digest(HexFormat.of().formatHex(digest));
  }

  /** Returns a new SHA-256 computation. */
  public static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new FoxtaildoorException(
          ErrorKind.INTERNAL, "the Java runtime does not provide SHA-256", e);
    }
  }

  /** Returns the 32 bytes. */
  public byte[] bytes() {
    return HexFormat.of().parseHex(hex);
  }

  /** Returns the first 12 digits, as a short form for people. */
  public String abbreviated() {
    return hex.substring(0, 12);
  }

  @Override
  public String toString() {
    return hex;
  }
}
