package io.foxtaildoor.standins.upstream;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The faults that are injected into the stand-in. Each {@code POST /standin/control} replaces all
 * of them, so that an empty object ends all faults.
 *
 * @param share share of the requests, 0 to 1, that the faults apply to; all when absent
 * @param slowFactor factor by which the service time is multiplied; 1 when absent
 * @param hang whether requests occupy a slot and are never answered
 * @param lateMillis delay in milliseconds added to the service time; when positive, the request is
 *     answered even after its deadline
 * @param shed whether requests are answered with 503 and not executed
 * @param closeMidAnswer whether the connection is closed after a part of the answer
 * @param malformed whether the answer is not valid HTTP
 * @param health status code that {@code GET /health} returns; the actual one when absent
 * @param load number of requests in flight that {@code GET /load} reports; the actual one when
 *     absent
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

  double slowFactorOrDefault() {
    return slowFactor == null ? 1 : slowFactor;
  }

  boolean appliesTo(double draw) {
    return share == null || draw < share;
  }
}
