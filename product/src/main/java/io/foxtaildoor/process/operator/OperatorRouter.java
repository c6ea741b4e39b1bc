package io.foxtaildoor.process.operator;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Routes requests to handlers by method and path template, such as {@code /v1/config/{team}}. */
public final class OperatorRouter {
  private final List<Entry> entries = new ArrayList<>();

  private record Entry(String method, List<String> segments, OperatorHandler handler) {}

  /**
   * A matched handler with the values of the variables in its path template.
   *
   * @param variables values by variable name, without the braces
   */
  public record Match(OperatorHandler handler, Map<String, String> variables) {}

  /** Adds a route. Routes that were added earlier take precedence. */
  public OperatorRouter add(String method, String template, OperatorHandler handler) {
    entries.add(new Entry(method, List.of(template.split("/", -1)), handler));
    return this;
  }

  /**
   * Finds the handler for a method and path.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#NOT_FOUND} when no route matches
   */
  public Match find(String method, String path) {
    List<String> segments = List.of(path.split("/", -1));
    for (Entry entry : entries) {
      Optional<Map<String, String>> variables = match(entry.segments(), segments);
      if (variables.isPresent() && entry.method().equals(method)) {
        return new Match(entry.handler(), variables.get());
      }
    }
    throw new FoxtaildoorException(ErrorKind.NOT_FOUND, "no resource " + method + " " + path);
  }

  private static Optional<Map<String, String>> match(List<String> template, List<String> path) {
    if (template.size() != path.size()) {
      return Optional.empty();
    }
    Map<String, String> variables = new HashMap<>();
    for (int i = 0; i < template.size(); i++) {
      String expected = template.get(i);
      if (expected.startsWith("{")) {
        variables.put(expected.substring(1, expected.length() - 1), path.get(i));
      } else if (!expected.equals(path.get(i))) {
        return Optional.empty();
      }
    }
    return Optional.of(variables);
  }
}
