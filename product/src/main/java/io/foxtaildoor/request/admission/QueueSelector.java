package io.foxtaildoor.request.admission;

import io.foxtaildoor.common.Rank;

/** Maps the rank of a request to the rank whose queue it waits in. */
@FunctionalInterface
interface QueueSelector {
  Rank queueOf(Rank rank);
}
