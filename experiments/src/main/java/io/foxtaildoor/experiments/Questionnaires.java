package io.foxtaildoor.experiments;

import java.util.List;
import java.util.Locale;

/** Builds questionnaires of the team that runs the bookings service of the member Pamoja. */
final class Questionnaires {
  /** Ranks, the most urgent first. Each rank has a route whose path is its name in lower case. */
  static final List<String> RANKS = List.of("URGENT", "HIGH", "NORMAL", "LOW");

  private Questionnaires() {}

  /** Renders a questionnaire with one kind of work for each rank, all with the same deadline. */
  static String bookings(int deadlineMillis) {
    StringBuilder text =
        new StringBuilder(
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
            """);
    for (String rank : RANKS) {
      String name = rank.toLowerCase(Locale.ROOT);
      text.append(
          """
            - name: work-%s
              host: bookings.pamoja
              methods: [GET]
              path: /%s
              prefix: true
              service: bookings
              idempotent: true
              rank: %s
              deadline: %dms
              maxBody: 16KiB
          """
              .formatted(name, name, rank, deadlineMillis));
    }
    return text.toString();
  }
}
