package io.foxtaildoor.version.questionnaire;

import io.foxtaildoor.common.Rank;
import io.foxtaildoor.common.ServiceId;
import java.time.Duration;
import java.util.List;

/**
 * A team's answers about one kind of work, from which a route is generated.
 *
 * @param host lower-case host name without a port
 * @param methods HTTP methods that match; empty for all methods
 * @param prefix whether paths below {@code path} match as well
 * @param service target service of the requests, which may belong to another team
 * @param maxBodyBytes maximum size of a request body, in bytes
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
  /** Creates an answer with an immutable copy of the methods. */
  public WorkAnswer {
    methods = List.copyOf(methods);
  }
}
