package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;

/** Chooses the queue in which a request of a rank waits. */
@FunctionalInterface
interface QueueSelector {
  Rank queueOf(Rank rank);
}
