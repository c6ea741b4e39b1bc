package io.foxtaildoor.request.balance;

import io.foxtaildoor.common.Rank;

/**
 * Order in which the node of an upstream prefers requests; a smaller level is more urgent. An
 * instance that refuses a request also refuses requests of larger levels.
 */
public record Urgency(int level) {
  /** Number of levels. */
  static final int LEVEL_COUNT = 2 * Rank.COUNT;

  /** The most urgent level. */
  public static final Urgency HIGHEST = new Urgency(0);

  /**
   * Returns the urgency of a request.
   *
   * @param missesObjective whether the request can no longer meet its objective
   */
  @SuppressWarnings("EnumOrdinal") // Ranks are declared in the order of their urgency.
  public static Urgency of(Rank rank, boolean missesObjective) {
    return new Urgency(rank.ordinal() + (missesObjective ? Rank.COUNT : 0));
  }
}
