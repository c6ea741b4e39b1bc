package io.foxtaildoor.process.operator;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * HTTP request to the operator interface, with its complete body.
 *
 * @param variables values of the variables in the path template
 * @param query query parameters
 */
@SuppressWarnings(
    "ArrayRecordComponent") // The body is read only once and instances are never compared.
public record OperatorRequest(
    String method,
    String path,
    Map<String, String> variables,
    Map<String, List<String>> query,
    HttpHeaders headers,
    byte[] body,
    InetSocketAddress remote) {
  /** Returns the value of a path variable. */
  public String variable(String name) {
    return variables.get(name);
  }

  /** Returns the first value of a query parameter. */
  public Optional<String> parameter(String name) {
    return query.getOrDefault(name, List.of()).stream().findFirst();
  }

  /**
   * Returns a query parameter as an integer, or a default when it is absent.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when it is not a number or
   *     out of range
   */
  public int intParameter(String name, int defaultValue, int min, int max) {
    Optional<String> text = parameter(name);
    if (text.isEmpty()) {
      return defaultValue;
    }
    try {
      int value = Integer.parseInt(text.get());
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      throw outOfRange(name, min, max, e);
    }
    throw outOfRange(name, min, max, null);
  }

  private static FoxtaildoorException outOfRange(String name, int min, int max, Throwable cause) {
    return new FoxtaildoorException(
        ErrorKind.INVALID_INPUT,
        "parameter " + name + " must be a whole number from " + min + " to " + max,
        cause);
  }
}
