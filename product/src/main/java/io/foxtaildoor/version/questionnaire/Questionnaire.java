package io.foxtaildoor.version.questionnaire;

import io.foxtaildoor.common.MemberId;
import io.foxtaildoor.common.TeamId;
import java.util.List;

/** The checked answers of one team, in the order of the document. */
public record Questionnaire(
    MemberId member, TeamId team, List<ServiceAnswer> services, List<WorkAnswer> work) {
  /** Creates answers with immutable lists. */
  public Questionnaire {
    services = List.copyOf(services);
    work = List.copyOf(work);
  }
}
