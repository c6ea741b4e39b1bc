package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;
import java.util.EnumMap;
import java.util.Map;

/** Slot time that each rank received recently, in a window that decays exponentially. */
final class SlotUsage {
  private final double windowNanos;
  private final Map<Rank, Use> uses = new EnumMap<>(Rank.class);
  private double offered;
  private long updatedAtNanos;

  SlotUsage(double windowNanos, long nowNanos) {
    this.windowNanos = windowNanos;
    this.updatedAtNanos = nowNanos;
    for (Rank rank : Rank.values()) {
      uses.put(rank, new Use());
    }
  }

  /** What one rank uses. */
  private static final class Use {
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
    offered = offered * decay + limit * gain;
    for (Use use : uses.values()) {
      use.slotNanos = use.slotNanos * decay + use.inFlight * gain;
    }
  }

  void started(Rank rank) {
    uses.get(rank).inFlight++;
  }

  void ended(Rank rank) {
    uses.get(rank).inFlight--;
  }

  int inFlight(Rank rank) {
    return uses.get(rank).inFlight;
  }

  /** Share of the offered slot time that a rank received recently. */
  double recentShare(Rank rank) {
    return offered == 0 ? 0 : uses.get(rank).slotNanos / offered;
  }
}
