package io.foxtaildoor.version.questionnaire;

import static io.foxtaildoor.version.questionnaire.ProblemKind.DUPLICATE_KEY;
import static io.foxtaildoor.version.questionnaire.ProblemKind.DUPLICATE_NAME;
import static io.foxtaildoor.version.questionnaire.ProblemKind.INCONSISTENT;
import static io.foxtaildoor.version.questionnaire.ProblemKind.MALFORMED_ID;
import static io.foxtaildoor.version.questionnaire.ProblemKind.MALFORMED_VALUE;
import static io.foxtaildoor.version.questionnaire.ProblemKind.MISSING_KEY;
import static io.foxtaildoor.version.questionnaire.ProblemKind.OUT_OF_RANGE;
import static io.foxtaildoor.version.questionnaire.ProblemKind.ROUTE_OVERLAP;
import static io.foxtaildoor.version.questionnaire.ProblemKind.SYNTAX;
import static io.foxtaildoor.version.questionnaire.ProblemKind.TOO_LARGE;
import static io.foxtaildoor.version.questionnaire.ProblemKind.UNKNOWN_KEY;
import static io.foxtaildoor.version.questionnaire.ProblemKind.WRONG_TYPE;
import static io.foxtaildoor.version.questionnaire.ProblemKind.YAML_FEATURE;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Invalid questionnaires, each with one change to a valid one, and the problems they must cause.
 */
public final class BadQuestionnaires {
  /** A valid document. The line numbers of the cases refer to it and start at 1. */
  public static final String VALID =
      """
      member: pamoja
      team: bookings-team
      services:
        - id: bookings
          callers: ["*"]
          slots: 9
          connections: 110
          coldStart: 5s
          reserved: {HIGH: 20, NORMAL: 10, LOW: 5}
      work:
        - name: availability-check
          host: bookings.pamoja
          methods: [GET]
          path: /availability
          prefix: true
          service: bookings
          idempotent: true
          rank: URGENT
          deadline: 500ms
          maxBody: 64KiB
      """;

  private static final String SECOND_SERVICE =
      "  - {id: bookings, callers: [\"*\"], slots: 1, connections: 1}\n";

  /** All invalid questionnaires. */
  public static final List<Case> CASES =
      List.of(
          bad("member: pamoja", "member: [", SYNTAX, "", 3),
          bad("team: bookings-team", "\tteam: x", SYNTAX, "", 2),
          bad("work:", "work: \"\\q\"\n#", SYNTAX, "", 10),
          bad("maxBody: 64KiB", "maxBody: 64KiB\n---\nx: 1", SYNTAX, "", 22),
          bad("member: pamoja", "member: \u0001", SYNTAX, "", 1),
          bad("member: pamoja\n", "member: pamoja\nwho: me\n", UNKNOWN_KEY, "who", 2),
          bad("    slots: 9", "    slotz: 9", UNKNOWN_KEY, "services[0].slotz", 6),
          bad("HIGH: 20", "HIHG: 20", UNKNOWN_KEY, "services[0].reserved.HIHG", 9),
          bad("prefix: true", "<<: {a: b}", UNKNOWN_KEY, "work[0].<<", 15),
          bad("member: pamoja\n", "", MISSING_KEY, "member", 1),
          bad("    slots: 9\n", "", MISSING_KEY, "services[0].slots", 4),
          bad("    idempotent: true\n", "", MISSING_KEY, "work[0].idempotent", 11),
          bad("    deadline: 500ms\n", "", MISSING_KEY, "work[0].deadline", 11),
          bad("member: pamoja", "team: b\nmember: pamoja", DUPLICATE_KEY, "team", 3),
          bad("rank: URGENT", "rank: LOW\n    rank: LOW", DUPLICATE_KEY, "work[0].rank", 19),
          bad("{HIGH: 20,", "{HIGH: 20, HIGH: 1,", DUPLICATE_KEY, "services[0].reserved.HIGH", 9),
          bad("slots: 9", "slots: many", WRONG_TYPE, "services[0].slots", 6),
          bad("slots: 9", "slots: 9.5", WRONG_TYPE, "services[0].slots", 6),
          bad("member: pamoja", "member: 12", WRONG_TYPE, "member", 1),
          bad("member: pamoja", "member:", WRONG_TYPE, "member", 1),
          bad("[\"*\"]", "\"*\"", WRONG_TYPE, "services[0].callers", 5),
          bad("idempotent: true", "idempotent: yes", MALFORMED_VALUE, "work[0].idempotent", 17),
          bad("deadline: 500ms", "deadline: 500", WRONG_TYPE, "work[0].deadline", 19),
          bad("- id: bookings", "- bookings\n  - id: b", WRONG_TYPE, "services[0]", 4),
          bad("{HIGH: 20, NORMAL: 10, LOW: 5}", "20", WRONG_TYPE, "services[0].reserved", 9),
          bad("deadline: 500ms", "deadline: 5h", MALFORMED_VALUE, "work[0].deadline", 19),
          bad("deadline: 500ms", "deadline: 05s", MALFORMED_VALUE, "work[0].deadline", 19),
          bad("maxBody: 64KiB", "maxBody: 64KB", MALFORMED_VALUE, "work[0].maxBody", 20),
          bad("slots: 9", "slots: 1_0", MALFORMED_VALUE, "services[0].slots", 6),
          bad("rank: URGENT", "rank: urgent", MALFORMED_VALUE, "work[0].rank", 18),
          bad("[GET]", "[GET, FETCH]", MALFORMED_VALUE, "work[0].methods[1]", 13),
          bad("host: bookings.pamoja", "host: b.pamoja:80", MALFORMED_VALUE, "work[0].host", 12),
          bad("path: /availability", "path: a", MALFORMED_VALUE, "work[0].path", 14),
          bad("path: /availability", "path: /a/../b", MALFORMED_VALUE, "work[0].path", 14),
          bad("path: /availability", "path: /a%zz", MALFORMED_VALUE, "work[0].path", 14),
          bad("path: /availability", "path: /a?x=1", MALFORMED_VALUE, "work[0].path", 14),
          bad("team: bookings-team", "team: Bookings", MALFORMED_ID, "team", 2),
          bad("- id: bookings", "- id: -b", MALFORMED_ID, "services[0].id", 4),
          bad("[\"*\"]", "[a_b]", MALFORMED_ID, "services[0].callers[0]", 5),
          bad("slots: 9", "slots: 0", OUT_OF_RANGE, "services[0].slots", 6),
          bad("slots: 9", "slots: -9", OUT_OF_RANGE, "services[0].slots", 6),
          bad(
              "connections: 110",
              "connections: 100001",
              OUT_OF_RANGE,
              "services[0].connections",
              7),
          bad("coldStart: 5s", "coldStart: 11m", OUT_OF_RANGE, "services[0].coldStart", 8),
          bad("deadline: 500ms", "deadline: 0ms", OUT_OF_RANGE, "work[0].deadline", 19),
          bad("maxBody: 64KiB", "maxBody: 9999999999GiB", OUT_OF_RANGE, "work[0].maxBody", 20),
          bad("HIGH: 20", "HIGH: 91", OUT_OF_RANGE, "services[0].reserved.HIGH", 9),
          bad("work:", "  - *x\nwork:", YAML_FEATURE, "services[1]", 10),
          bad("slots: 9", "slots: &x 9", YAML_FEATURE, "services[0].slots", 6),
          bad("id: bookings", "id: &a bookings", YAML_FEATURE, "services[0].id", 4),
          bad("[\"*\"]", "&l [&l2 [*l2]]", YAML_FEATURE, "services[0].callers", 5),
          bad("slots: 9", "slots: !!int 9", YAML_FEATURE, "services[0].slots", 6),
          bad("[GET]", "[[[[[[[[[[[[]]]]]]]]]]]]", TOO_LARGE, pathAtDepthLimit(), 13),
          bad("[GET]", "[GET, GET]", DUPLICATE_NAME, "work[0].methods", 13),
          bad("[\"*\"]", "[b, b]", DUPLICATE_NAME, "services[0].callers", 5),
          bad("work:", SECOND_SERVICE + "work:", DUPLICATE_NAME, "services[1].id", 10),
          bad("64KiB\n", "64KiB\n" + secondWork("/x"), DUPLICATE_NAME, "work[1].name", 21),
          bad("[\"*\"]", "[\"*\", b]", INCONSISTENT, "services[0].callers", 5),
          bad("HIGH: 20", "HIGH: 76", INCONSISTENT, "services[0].reserved", 9),
          bad("connections: 110", "connections: 8", INCONSISTENT, "services[0].connections", 7),
          bad(
              "64KiB\n",
              "64KiB\n" + secondWork("/availability").replace("check", "other"),
              ROUTE_OVERLAP,
              "work[1]",
              21),
          bad("work:", "#" + "x".repeat(300_000), TOO_LARGE, "", 0),
          new Case("", SYNTAX, "", 1),
          new Case("[]", WRONG_TYPE, "", 1));

  private BadQuestionnaires() {}

  /**
   * An invalid document that must cause at least one problem with the given kind, path and line.
   */
  public record Case(String document, ProblemKind kind, String path, int line) {
    @Override
    public String toString() {
      return kind + " at " + path + ":" + line;
    }
  }

  private static String secondWork(String path) {
    return "  - {name: availability-check, host: bookings.pamoja, methods: [GET], prefix: true,"
        + " path: "
        + path
        + ", service: bookings, idempotent: true, deadline: 1s}\n";
  }

  private static String pathAtDepthLimit() {
    return "work[0].methods" + "[0]".repeat(7);
  }

  private static Case bad(String from, String to, ProblemKind kind, String path, int line) {
    if (!VALID.contains(from)) {
      throw new IllegalArgumentException(from);
    }
    return new Case(
        VALID.replaceFirst(Pattern.quote(from), Matcher.quoteReplacement(to)), kind, path, line);
  }
}
