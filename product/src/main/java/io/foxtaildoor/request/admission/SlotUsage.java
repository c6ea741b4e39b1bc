package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;
import java.util.EnumMap;
import java.util.Map;

/** Slot time that each rank received recently, in a window that decays exponentially. */
final class SlotUsage {
  private final double windowNanos;
  private final Map<Rank, RankUsage> usageByRank = new EnumMap<>(Rank.class);
  private double offeredSlotNanos;
  private long updatedAtNanos;

  SlotUsage(double windowNanos, long nowNanos) {
    this.windowNanos = windowNanos;
    this.updatedAtNanos = nowNanos;
    for (Rank rank : Rank.values()) {
      usageByRank.put(rank, new RankUsage());
    }
  }

  /** What one rank uses. */
  private static final class RankUsage {
    private double slotNanos;
    private int inFlight;
  }

  /** Counts the time since the last call with the present use of the slots. */
  void advance(long nowNanos, double limit) {
    double elapsed = (double) (nowNanos - updatedAtNanos);
    if (elapsed <= 0) {
      return;
    }
    updatedAtNanos = nowNanos;
    double decay = Math.exp(-elapsed / windowNanos);
    double gain = windowNanos * (1 - decay);
    offeredSlotNanos = offeredSlotNanos * decay + limit * gain;
    for (RankUsage use : usageByRank.values()) {
      use.slotNanos = use.slotNanos * decay + use.inFlight * gain;
    }
  }

  void acquire(Rank rank) {
    usageByRank.get(rank).inFlight++;
  }

  void release(Rank rank) {
    usageByRank.get(rank).inFlight--;
  }

  int inFlight(Rank rank) {
    return usageByRank.get(rank).inFlight;
  }

  /** Share of the offered slot time that a rank received recently. */
  double recentShare(Rank rank) {
    return offeredSlotNanos == 0 ? 0 : usageByRank.get(rank).slotNanos / offeredSlotNanos;
  }
}
