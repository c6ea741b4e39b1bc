package io.foxtaildoor.version.questionnaire;

import java.time.Duration;

/** Text form of durations and sizes as a questionnaire has them. */
public final class Amounts {
  private static final String[] SIZE_UNITS = {"B", "KiB", "MiB", "GiB"};

  private Amounts() {}

  /** The text of a duration in its largest exact unit. */
  public static String duration(Duration duration) {
    return duration(duration.toMillis());
  }

  static String duration(long millis) {
    if (millis % 60_000 == 0 && millis > 0) {
      return millis / 60_000 + "m";
    }
    return millis % 1_000 == 0 ? millis / 1_000 + "s" : millis + "ms";
  }

  /** The text of a size in its largest exact unit. */
  public static String size(long bytes) {
    int unit = 0;
    long amount = bytes;
    while (amount > 0 && amount % 1024 == 0 && unit < SIZE_UNITS.length - 1) {
      amount /= 1024;
      unit++;
    }
    return amount + SIZE_UNITS[unit];
  }
}
