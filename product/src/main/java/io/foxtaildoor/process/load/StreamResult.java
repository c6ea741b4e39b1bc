package io.foxtaildoor.process.load;

import java.util.Map;

/**
 * Measurements of one stream after the warm-up.
 *
 * @param intended requests whose intended send time was in the measured period
 * @param answered requests that received a response of any status
 * @param inTime requests that received a correct response with a status below 400 within the
 *     deadline
 * @param notRun responses with the outcome {@code not-run}
 * @param unknown responses with the outcome {@code unknown}
 * @param crossedAnswers responses that echo an id other than that of their request
 * @param missingEchoes responses with a status below 400 that echo no id
 * @param statuses number of responses by status
 * @param errors number of responses by the value of the header {@code foxtaildoor-error}
 * @param failures number of requests without a response, by reason
 * @param latency latency of the responses with a status below 400, measured from the intended send
 *     time
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
  /** Returns the fraction of the intended requests that were answered in time. */
  public double inTimeShare() {
    return intended == 0 ? 0 : inTime / (double) intended;
  }
}
