package io.foxtaildoor.version.questionnaire;

import io.foxtaildoor.common.Rank;
import io.foxtaildoor.common.ServiceId;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * A team's answers about one of its services.
 *
 * @param callers ids of the services that may call this one, or a single {@code *} for every caller
 * @param slots maximum number of concurrent requests of one instance
 * @param connections maximum number of connections to one instance
 * @param coldStart time that a new instance needs before it can take its full share of requests
 * @param reservedPercent share of the slots, in percent, that is reserved for a rank
 */
public record ServiceAnswer(
    ServiceId id,
    List<String> callers,
    int slots,
    int connections,
    Duration coldStart,
    Map<Rank, Integer> reservedPercent) {
  /** Creates an answer with immutable copies of the collections. */
  public ServiceAnswer {
    callers = List.copyOf(callers);
    reservedPercent = Map.copyOf(reservedPercent);
  }
}
