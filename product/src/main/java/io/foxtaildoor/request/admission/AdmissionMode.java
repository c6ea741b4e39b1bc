package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;
import java.util.Comparator;

/** Order in which waiting requests are started. */
public enum AdmissionMode {
  /** By rank and reserved share; within a rank by objective, then by deadline. */
  RANKS,
  /**
   * First in, first out in a single queue that ignores ranks; used only as a baseline for
   * comparisons.
   */
  FIFO;

  QueueSelector queueSelector() {
    return this == FIFO ? rank -> Rank.NORMAL : rank -> rank;
  }

  /** Comparator for the tickets within one queue. */
  Comparator<Ticket<?>> queueOrder() {
    return this == FIFO ? Ticket::compareArrival : Ticket::compareObjective;
  }
}
