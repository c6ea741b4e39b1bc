package io.foxtaildoor.version.questionnaire;

import static io.foxtaildoor.version.questionnaire.FieldReader.listReader;

import io.foxtaildoor.common.MemberId;
import io.foxtaildoor.common.TeamId;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Parses a questionnaire in YAML and reports all of its problems at once. */
public final class QuestionnaireReader {
  private static final Set<String> KEYS = Set.of("member", "team", "services", "work");

  private QuestionnaireReader() {}

  /** Reads a document. Invalid input never causes an exception. */
  public static ReadResult read(String document) {
    ProblemList problems = new ProblemList();
    if (document.length() > Limits.MAX_DOCUMENT_CHARS) {
      String message =
          "the document has "
              + document.length()
              + " characters, at most "
              + Limits.MAX_DOCUMENT_CHARS
              + " are allowed";
      problems.add(ProblemKind.TOO_LARGE, "", Problem.NO_LINE, message);
      return new ReadResult.Invalid(problems.toList());
    }
    Optional<YamlNode> root = YamlTreeReader.read(document, problems);
    Optional<Questionnaire> questionnaire = root.flatMap(node -> readQuestionnaire(node, problems));
    if (questionnaire.isPresent() && problems.isEmpty()) {
      return new ReadResult.Valid(questionnaire.get(), LineNumbers.of(root.get()));
    }
    return new ReadResult.Invalid(problems.toList());
  }

  private static Optional<Questionnaire> readQuestionnaire(YamlNode root, ProblemList problems) {
    return FieldReader.open(root, "", KEYS, problems)
        .flatMap(fields -> readAnswers(fields, problems));
  }

  private static Optional<Questionnaire> readAnswers(FieldReader fields, ProblemList problems) {
    Optional<MemberId> member = fields.required("member", ValueReaders.id(MemberId::new));
    Optional<TeamId> team = fields.required("team", ValueReaders.id(TeamId::new));
    // Both lists are required: if a missing list counted as empty, forgetting one would remove the
    // team's accepted services or routes.
    Optional<List<ServiceAnswer>> services =
        fields.required(
            "services", listReader(Limits.MAX_SERVICES, new ServiceAnswerReader(new HashSet<>())));
    Optional<List<WorkAnswer>> work =
        fields.required(
            "work", listReader(Limits.MAX_WORK_ENTRIES, new WorkAnswerReader(new HashSet<>())));
    if (!problems.isEmpty()) {
      return Optional.empty();
    }
    Questionnaire questionnaire =
        new Questionnaire(
            member.orElseThrow(), team.orElseThrow(), services.orElseThrow(), work.orElseThrow());
    AmbiguousRouteCheck.check(questionnaire.work(), fields, problems);
    return Optional.of(questionnaire);
  }
}
