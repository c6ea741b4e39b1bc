package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;
import java.util.EnumMap;
import java.util.Map;

/** Slot time that each rank used recently, measured in an exponentially decaying window. */
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

  /** Recent slot time and current slots of one rank. */
  private static final class RankUsage {
    private double slotNanos;
    private int inFlight;
  }

  /** Accounts for the time since the last call, with the slots that each rank uses at present. */
  void advance(long nowNanos, double limit) {
    double elapsedNanos = (double) (nowNanos - updatedAtNanos);
    if (elapsedNanos <= 0) {
      return;
    }
    updatedAtNanos = nowNanos;
    double decay = Math.exp(-elapsedNanos / windowNanos);
    double weightedNanos = windowNanos * (1 - decay);
    offeredSlotNanos = offeredSlotNanos * decay + limit * weightedNanos;
    for (RankUsage usage : usageByRank.values()) {
      usage.slotNanos = usage.slotNanos * decay + usage.inFlight * weightedNanos;
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

  /** Share of the available slot time that a rank used recently. */
  double recentShare(Rank rank) {
    return offeredSlotNanos == 0 ? 0 : usageByRank.get(rank).slotNanos / offeredSlotNanos;
  }
}
