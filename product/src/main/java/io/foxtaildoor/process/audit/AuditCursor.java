package io.foxtaildoor.process.audit;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Position in the audit trail, from which older entries are read: the entries of a segment before
 * an index, and all older segments.
 *
 * @param segment segment number, starting at 1
 * @param index index of the first entry of the segment that is excluded
 */
public record AuditCursor(long segment, int index) {
  /** Index beyond the last entry of any segment. */
  static final int SEGMENT_END = 999_999;

  private static final Pattern CURSOR_PATTERN = Pattern.compile("([1-9][0-9]{0,11})-([0-9]{1,6})");

  /**
   * Parses the text form, {@code <segment>-<index>}.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when it is malformed
   */
  public static AuditCursor parse(String text) {
    Matcher matcher = CURSOR_PATTERN.matcher(text);
    if (!matcher.matches()) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT, "an audit cursor must have the form <segment>-<index>");
    }
    return new AuditCursor(Long.parseLong(matcher.group(1)), Integer.parseInt(matcher.group(2)));
  }

  @Override
  public String toString() {
    return segment + "-" + index;
  }
}
