package io.foxtaildoor.process.node;

/** Questionnaires of the two test teams. Different deadlines make different questionnaires. */
final class Questionnaires {
  private static final String TEAM_AND_SERVICE =
      """
      member: pamoja
      team: %1$s-team
      services:
        - id: %1$s
          callers: ["*"]
          slots: 9
          connections: 110
          coldStart: 1s
          reserved: {HIGH: 20, NORMAL: 10, LOW: 5}
      work:
      """;

  private static final String WORK_ENTRY =
      """
        - name: %1$s-%2$s
          host: %1$s.pamoja
          methods: [%3$s]
          path: /%2$s
          prefix: true
          service: %1$s
          idempotent: %4$s
          rank: %5$s
          deadline: %6$dms
          maxBody: 64KiB
      """;

  private Questionnaires() {}

  static String of(String team, int deadlineMillis) {
    String service = team.replace("-team", "");
    return TEAM_AND_SERVICE.formatted(service)
        + WORK_ENTRY.formatted(service, "read", "GET", true, "URGENT", deadlineMillis)
        + WORK_ENTRY.formatted(service, "write", "POST", false, "HIGH", deadlineMillis)
        + WORK_ENTRY.formatted(service, "scan", "GET", true, "LOW", deadlineMillis);
  }
}
