package io.foxtaildoor.process.load;

/** How the intended send times of a stream are spaced. */
public enum ArrivalProcess {
  /** At equal distances. */
  CONSTANT,
  /** At exponentially distributed distances with the seed of the plan. */
  POISSON
}
