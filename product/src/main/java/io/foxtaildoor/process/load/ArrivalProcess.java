package io.foxtaildoor.process.load;

/** Distribution of the intervals between the intended send times of a stream. */
public enum ArrivalProcess {
  /** Equal intervals. */
  CONSTANT,
  /** Exponentially distributed intervals, generated from the seed of the plan. */
  POISSON
}
