package io.foxtaildoor.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The faults that are injected at present, and the number of calls by kind. Confined to the event
 * loop of the stand-in.
 */
final class Faults {
  private static final long RATE_WINDOW_NANOS = 1_000_000_000L;
  private static final int LOSE_ALL_ANSWERS = -1;

  /** How the stand-in simulates an outage. */
  enum OutageMode {
    NONE,
    /** The listener is closed, so that connections are refused. */
    REFUSED,
    /** Requests are read, have no effect and get no answer. */
    UNANSWERED
  }

  private final Map<String, Long> calls = new TreeMap<>();
  private OutageMode outage = OutageMode.NONE;
  private long slowMillis;
  private int answersToLose;
  private int readsPerSecond;
  private int writesPerSecond;
  private long windowStartNanos;
  private int readsInWindow;
  private int writesInWindow;

  /** Sets the faults that a control document contains and leaves the others unchanged. */
  void update(JsonNode document) {
    if (document.has("down")) {
      outage = OutageMode.valueOf(document.get("down").asText().toUpperCase(Locale.ROOT));
    }
    slowMillis = document.path("slowMillis").asLong(slowMillis);
    answersToLose = document.path("loseAnswers").asInt(answersToLose);
    readsPerSecond = document.path("readsPerSecond").asInt(readsPerSecond);
    writesPerSecond = document.path("writesPerSecond").asInt(writesPerSecond);
    if (document.path("resetCounters").asBoolean()) {
      calls.clear();
    }
  }

  void writeTo(ObjectNode report) {
    report.put("down", outage.name().toLowerCase(Locale.ROOT));
    report.put("slowMillis", slowMillis);
    report.put("loseAnswers", answersToLose);
    report.put("readsPerSecond", readsPerSecond);
    report.put("writesPerSecond", writesPerSecond);
    ObjectNode counters = report.putObject("calls");
    calls.forEach(counters::put);
  }

  void count(String kind) {
    calls.merge(kind, 1L, Long::sum);
  }

  OutageMode outage() {
    return outage;
  }

  long slowMillis() {
    return slowMillis;
  }

  /**
   * Counts a call against the rate limit of reads or writes. A watch that was pending when a
   * one-second window began counts as one read of that window, as it does on the platform.
   *
   * @return false when the call exceeds the limit
   */
  boolean admit(boolean write, int pendingWatches, long nowNanos) {
    if (nowNanos - windowStartNanos >= RATE_WINDOW_NANOS) {
      windowStartNanos = nowNanos;
      readsInWindow = pendingWatches;
      writesInWindow = 0;
    }
    if (write) {
      writesInWindow++;
      return writesPerSecond == 0 || writesInWindow <= writesPerSecond;
    }
    readsInWindow++;
    return readsPerSecond == 0 || readsInWindow <= readsPerSecond;
  }

  /** Returns whether the answer to a write that took effect is lost, and counts it as lost. */
  boolean takeLostAnswer() {
    if (answersToLose > 0) {
      answersToLose--;
      return true;
    }
    return answersToLose == LOSE_ALL_ANSWERS;
  }
}
