package io.foxtaildoor.version.questionnaire;

import io.foxtaildoor.common.Rank;
import io.foxtaildoor.common.ServiceId;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * What a team answers for one of its services.
 *
 * @param callers ids of services, or {@code *} alone
 * @param slots concurrent requests of one instance
 * @param connections connections of one instance
 * @param coldStart time that a new instance needs before it takes its whole share
 * @param reservedPercent percent of the slots that a rank keeps
 */
public record ServiceAnswer(
    ServiceId id,
    List<String> callers,
    int slots,
    int connections,
    Duration coldStart,
    Map<Rank, Integer> reservedPercent) {
  /** Creates an answer with immutable collections. */
  public ServiceAnswer {
    callers = List.copyOf(callers);
    reservedPercent = Map.copyOf(reservedPercent);
  }
}
