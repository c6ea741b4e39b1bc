package io.foxtaildoor.version.questionnaire;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds routes of one team between which the more specific one cannot be told. A longer path, an
 * exact path and named methods are more specific, so routes that differ in these are valid.
 */
final class AmbiguousRouteCheck {
  private AmbiguousRouteCheck() {}

  static void within(List<WorkAnswer> work, FieldReader fields, ProblemList problems) {
    Map<String, List<Integer>> sameRequests = new HashMap<>();
    for (int i = 0; i < work.size(); i++) {
      WorkAnswer answer = work.get(i);
      String key = answer.host() + answer.path() + " " + answer.prefix();
      List<Integer> former = sameRequests.computeIfAbsent(key, k -> new ArrayList<>());
      for (int other : former) {
        if (ambiguous(answer.methods(), work.get(other).methods())) {
          String message =
              "matches the same requests as " + work.get(other).name() + " with equal precedence";
          String path = ProblemTexts.item(fields.pathOf("work"), i);
          problems.add(ProblemKind.ROUTE_OVERLAP, path, fields.itemLine("work", i), message);
          break;
        }
      }
      former.add(i);
    }
  }

  private static boolean ambiguous(List<String> methods, List<String> others) {
    if (methods.isEmpty() || others.isEmpty()) {
      return methods.isEmpty() && others.isEmpty();
    }
    return !Collections.disjoint(methods, others);
  }
}
