package io.foxtaildoor.process.instance;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import java.util.regex.Pattern;

/** Identifier that an upstream instance chooses for itself. */
public record InstanceId(String value) {
  /** Visible ASCII characters only, because the id is sent as the value of an HTTP header. */
  private static final Pattern VALID_ID = Pattern.compile("[!-~]{1,128}");

  /**
   * Creates an instance id.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} unless the value consists of
   *     1 to 128 visible ASCII characters
   */
  public InstanceId {
    if (!VALID_ID.matcher(value).matches()) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT,
          "an instance id must consist of 1 to 128 visible ASCII characters");
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
