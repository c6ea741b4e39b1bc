package io.foxtaildoor.version.questionnaire;

import io.foxtaildoor.common.MemberId;
import io.foxtaildoor.common.TeamId;
import java.util.List;

/** One team's validated answers, in the order of the document. */
public record Questionnaire(
    MemberId member, TeamId team, List<ServiceAnswer> services, List<WorkAnswer> work) {
  /** Creates a questionnaire with immutable copies of the lists. */
  public Questionnaire {
    services = List.copyOf(services);
    work = List.copyOf(work);
  }
}
