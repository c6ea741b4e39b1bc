package io.foxtaildoor.request.balance;

import io.foxtaildoor.common.Rank;

/**
 * Order in which an upstream's node prefers requests; a smaller level is more urgent. An instance
 * that refuses a request refuses those of larger levels too.
 */
public record Urgency(int level) {
  /** Number of levels. */
  static final int LEVEL_COUNT = 2 * Rank.COUNT;

  /** The most urgent level. */
  public static final Urgency HIGHEST = new Urgency(0);

  /**
   * The level of a request.
   *
   * @param missesObjective whether its answer cannot have its full worth any more
   */
  @SuppressWarnings("EnumOrdinal") // Ranks are declared in the order of their urgency.
  public static Urgency of(Rank rank, boolean missesObjective) {
    return new Urgency(rank.ordinal() + (missesObjective ? Rank.COUNT : 0));
  }
}
