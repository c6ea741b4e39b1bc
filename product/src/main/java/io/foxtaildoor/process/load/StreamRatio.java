package io.foxtaildoor.process.load;

/**
 * Medians over the repetitions of the ratio of candidate to baseline for one stream. A ratio is NaN
 * when the baseline value is 0 in every repetition.
 *
 * @param p50 ratio of the median latencies; below 1 the candidate is faster
 * @param p99 ratio of the 99th percentiles
 * @param inTimeShare ratio of the shares answered in time; above 1 the candidate answers more
 */
public record StreamRatio(String name, double p50, double p99, double inTimeShare) {}
