package io.foxtaildoor.process.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Counts the outcomes of the requests of one stream. Not thread-safe. */
final class StreamRecorder {
  /** Lowest HTTP status that counts as an error. */
  private static final int FIRST_ERROR_STATUS = 400;

  private static final long MAX_LATENCY_MICROS = TimeUnit.HOURS.toMicros(1);
  private static final int SIGNIFICANT_DIGITS = 3;

  /** The parts of a response that are counted. A header that is absent is null. */
  record Answer(int status, String error, String outcome, String echo) {}

  private final StreamPlan plan;
  private final Histogram latency = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
  private final Map<Integer, Long> statuses = new TreeMap<>();
  private final Map<String, Long> errors = new TreeMap<>();
  private final Map<Failure, Long> failures = new EnumMap<>(Failure.class);
  private long intended;
  private long answered;
  private long inTime;
  private long notRun;
  private long unknown;
  private long crossed;
  private long missingEchoes;

  StreamRecorder(StreamPlan plan) {
    this.plan = plan;
  }

  void recordIntended() {
    intended++;
  }

  void recordFailure(Failure failure) {
    failures.merge(failure, 1L, Long::sum);
  }

  /** Counts a response that arrived the given time in nanoseconds after the intended send time. */
  void recordAnswer(Answer answer, String expectedEcho, long nanos) {
    answered++;
    statuses.merge(answer.status(), 1L, Long::sum);
    if (answer.error() != null) {
      errors.merge(answer.error(), 1L, Long::sum);
    }
    notRun += "not-run".equals(answer.outcome()) ? 1 : 0;
    unknown += "unknown".equals(answer.outcome()) ? 1 : 0;
    boolean success = answer.status() < FIRST_ERROR_STATUS;
    if (success) {
      latency.recordValue(Math.min(TimeUnit.NANOSECONDS.toMicros(nanos), MAX_LATENCY_MICROS));
    }
    boolean correct = checkEcho(answer, expectedEcho, success);
    if (success && correct && nanos <= plan.deadline().toNanos()) {
      inTime++;
    }
  }

  StreamResult result() {
    return new StreamResult(
        plan.name(),
        plan.rank(),
        intended,
        answered,
        inTime,
        notRun,
        unknown,
        crossed,
        missingEchoes,
        Map.copyOf(statuses),
        Map.copyOf(errors),
        Map.copyOf(failures),
        Latency.of(latency));
  }

  /**
   * Checks whether a response echoes the expected id. An error response may lack the id, because it
   * does not necessarily come from the upstream.
   */
  private boolean checkEcho(Answer answer, String expected, boolean success) {
    if (expected == null || expected.equals(answer.echo())) {
      return true;
    }
    if (answer.echo() != null) {
      crossed++;
      return false;
    }
    missingEchoes += success ? 1 : 0;
    return !success;
  }
}
