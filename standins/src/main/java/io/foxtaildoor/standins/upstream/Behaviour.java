package io.foxtaildoor.standins.upstream;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What the stand-in is told to do wrong; replaced whole by {@code POST /standin/control}, so that
 * an empty object ends all faults.
 *
 * @param share share of the requests that the faults apply to; absent is all
 * @param slowFactor multiplies the service time; absent is 1
 * @param hang never answers
 * @param lateMillis time added after the service, even past the deadline
 * @param shed answers 503 without serving
 * @param closeMidAnswer closes the connection after a part of the answer
 * @param malformed sends an answer that is not HTTP
 * @param health status that {@code GET /health} gives; absent is the true one
 * @param load requests in flight that {@code GET /load} reports; absent is the true number
 */
record Behaviour(
    @JsonProperty("share") Double share,
    @JsonProperty("slowFactor") Double slowFactor,
    @JsonProperty("hang") boolean hang,
    @JsonProperty("lateMillis") int lateMillis,
    @JsonProperty("shed") boolean shed,
    @JsonProperty("closeMidAnswer") boolean closeMidAnswer,
    @JsonProperty("malformed") boolean malformed,
    @JsonProperty("health") Integer health,
    @JsonProperty("load") Integer load) {
  static final Behaviour NORMAL =
      new Behaviour(null, null, false, 0, false, false, false, null, null);

  double factor() {
    return slowFactor == null ? 1 : slowFactor;
  }

  boolean appliesTo(double draw) {
    return share == null || draw < share;
  }
}
