package io.foxtaildoor.process.instance;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import java.util.regex.Pattern;

/** Id that an upstream instance gives itself. */
public record InstanceId(String value) {
  /** Visible characters only, because the id is sent as the value of a header. */
  private static final Pattern VALID_ID = Pattern.compile("[!-~]{1,128}");

  /**
   * Creates an id.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the value is malformed
   */
  public InstanceId {
    if (!VALID_ID.matcher(value).matches()) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT, "an instance id must have 1 to 128 visible characters");
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
