package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;
import java.util.Comparator;

/** Order in which waiting requests start. */
public enum AdmissionMode {
  /** By rank and reserved share, within a rank by deadline. */
  RANKS,
  /** In the order of arrival in one queue without regard to ranks; only for comparison. */
  FIFO;

  QueueSelector queueSelector() {
    return this == FIFO ? rank -> Rank.NORMAL : rank -> rank;
  }

  /** Order within one queue. */
  Comparator<Ticket<?>> queueOrder() {
    return this == FIFO ? Ticket::compareArrival : Ticket::compareObjective;
  }
}
