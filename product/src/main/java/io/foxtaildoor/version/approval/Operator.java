package io.foxtaildoor.version.approval;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.MemberId;
import java.util.regex.Pattern;

/** A person or program that makes requests on behalf of one member. */
public record Operator(String name, MemberId member) {
  private static final Pattern NAME_PATTERN =
      Pattern.compile("[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?");

  /**
   * Creates an operator.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the name is malformed
   */
  public Operator {
    if (!isValidName(name)) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT,
          "an operator name must have 1 to 63 lower-case letters, digits, dots or hyphens"
              + " and must start and end with a letter or digit");
    }
  }

  static boolean isValidName(String name) {
    return NAME_PATTERN.matcher(name).matches();
  }
}
