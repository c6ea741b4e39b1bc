package io.foxtaildoor.version.questionnaire;

import io.foxtaildoor.common.Rank;
import io.foxtaildoor.common.ServiceId;
import java.time.Duration;
import java.util.List;

/**
 * What a team answers for one kind of work.
 *
 * @param host lower-case host name without a port
 * @param methods HTTP methods; empty for every method
 * @param prefix whether paths below {@code path} match as well
 * @param service where the requests go; it may belong to another team
 * @param maxBodyBytes largest request body, in bytes
 */
public record WorkAnswer(
    String name,
    String host,
    List<String> methods,
    String path,
    boolean prefix,
    ServiceId service,
    boolean idempotent,
    Rank rank,
    Duration deadline,
    long maxBodyBytes) {
  /** Creates an answer with an immutable list. */
  public WorkAnswer {
    methods = List.copyOf(methods);
  }
}
