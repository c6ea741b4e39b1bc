package io.foxtaildoor.process.load;

import java.util.Map;

/**
 * What one stream measured after the warm-up.
 *
 * @param intended requests whose intended send time fell into the measured time
 * @param answered requests with an answer of any status
 * @param inTime requests with an answer below status 400 within the deadline
 * @param notRun answers with the outcome {@code not-run}
 * @param unknown answers with the outcome {@code unknown}
 * @param crossedAnswers answers that repeat the id of another request
 * @param missingEchoes answers below status 400 without the expected id
 * @param statuses answers by status
 * @param errors answers by the header {@code foxtaildoor-error}
 * @param failures requests without an answer
 * @param latency latency of the answers below status 400, from the intended send time
 */
public record StreamResult(
    String name,
    String rank,
    long intended,
    long answered,
    long inTime,
    long notRun,
    long unknown,
    long crossedAnswers,
    long missingEchoes,
    Map<Integer, Long> statuses,
    Map<String, Long> errors,
    Map<Failure, Long> failures,
    Latency latency) {
  /** Share of the intended requests that were answered in time. */
  public double inTimeShare() {
    return intended == 0 ? 0 : inTime / (double) intended;
  }
}
