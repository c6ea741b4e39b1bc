package io.foxtaildoor.version.questionnaire;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds routes of one team that match the same requests with equal precedence. A route with a
 * longer path, an exact path or named methods takes precedence as the more specific one, so routes
 * that differ in one of these are valid.
 */
final class AmbiguousRouteCheck {
  private AmbiguousRouteCheck() {}

  static void check(List<WorkAnswer> work, FieldReader fields, ProblemList problems) {
    Map<String, List<Integer>> indexesByHostAndPath = new HashMap<>();
    for (int i = 0; i < work.size(); i++) {
      WorkAnswer answer = work.get(i);
      String key = answer.host() + answer.path() + " " + answer.prefix();
      List<Integer> earlierIndexes =
          indexesByHostAndPath.computeIfAbsent(key, k -> new ArrayList<>());
      for (int other : earlierIndexes) {
        if (areAmbiguous(answer.methods(), work.get(other).methods())) {
          String message =
              "matches the same requests as " + work.get(other).name() + " with equal precedence";
          String path = ProblemTexts.itemPath(fields.pathOf("work"), i);
          problems.add(ProblemKind.ROUTE_OVERLAP, path, fields.lineOfItem("work", i), message);
          break;
        }
      }
      earlierIndexes.add(i);
    }
  }

  private static boolean areAmbiguous(List<String> methods, List<String> otherMethods) {
    if (methods.isEmpty() || otherMethods.isEmpty()) {
      return methods.isEmpty() && otherMethods.isEmpty();
    }
    return !Collections.disjoint(methods, otherMethods);
  }
}
