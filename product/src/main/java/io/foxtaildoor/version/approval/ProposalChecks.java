package io.foxtaildoor.version.approval;

import com.google.protobuf.InvalidProtocolBufferException;
import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.platform.PlatformClient;
import io.foxtaildoor.protocol.TeamConfiguration;
import io.foxtaildoor.version.generation.CrossTeamValidator;
import io.foxtaildoor.version.questionnaire.Problem;
import io.foxtaildoor.version.questionnaire.ProblemKind;
import io.foxtaildoor.version.questionnaire.QuestionnaireReader;
import io.foxtaildoor.version.questionnaire.ReadResult;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Validates submitted documents; the methods throw when a request must be rejected. */
final class ProposalChecks {
  private ProposalChecks() {}

  /** Thrown when a questionnaire has problems, to reject the request. */
  static final class InvalidQuestionnaireException extends RuntimeException {
    private final transient List<Problem> problems;

    InvalidQuestionnaireException(List<Problem> problems) {
      super(problems.size() + " problems", null, false, false);
      this.problems = List.copyOf(problems);
    }

    List<Problem> problems() {
      return problems;
    }
  }

  /**
   * Reads a document and generates its configuration.
   *
   * @throws InvalidQuestionnaireException when the document has problems
   */
  static Proposal readProposal(String document) {
    ReadResult result = QuestionnaireReader.read(document);
    if (result instanceof ReadResult.Invalid invalid) {
      throw new InvalidQuestionnaireException(invalid.problems());
    }
    Proposal proposal = Proposal.of((ReadResult.Valid) result);
    if (proposal.content().length > PlatformClient.MAX_VALUE_BYTES) {
      throw invalidQuestionnaire(
          proposal,
          ProblemKind.TOO_LARGE,
          "",
          "the generated configuration exceeds the value size limit of the platform");
    }
    return proposal;
  }

  /** Checks that a proposal belongs to the team named in the request. */
  static void requireTeam(Proposal proposal, TeamId team) {
    if (!proposal.questionnaire().team().equals(team)) {
      throw invalidQuestionnaire(
          proposal, ProblemKind.INCONSISTENT, "team", "the request is for team " + team);
    }
  }

  /** Checks that an operator acts on behalf of the member of a proposal. */
  static void requireMember(Proposal proposal, Operator operator) {
    if (!proposal.questionnaire().member().equals(operator.member())) {
      throw new FoxtaildoorException(
          ErrorKind.FORBIDDEN,
          "operator "
              + operator.name()
              + " acts for member "
              + operator.member()
              + ", not for member "
              + proposal.questionnaire().member());
    }
  }

  private static InvalidQuestionnaireException invalidQuestionnaire(
      Proposal proposal, ProblemKind kind, String path, String message) {
    return new InvalidQuestionnaireException(
        List.of(new Problem(kind, path, proposal.places().lineOf(path), message)));
  }

  /**
   * Checks a proposal against the accepted configurations of all teams.
   *
   * @throws InvalidQuestionnaireException when the proposal conflicts with them
   */
  static void crossCheck(Proposal proposal, AcceptedHead head, Map<Digest, byte[]> parts) {
    List<Problem> problems =
        CrossTeamValidator.validate(
            proposal.questionnaire(), proposal.places(), parseAcceptedParts(head, parts));
    if (!problems.isEmpty()) {
      throw new InvalidQuestionnaireException(problems);
    }
  }

  private static Map<TeamId, TeamConfiguration> parseAcceptedParts(
      AcceptedHead head, Map<Digest, byte[]> parts) {
    Map<TeamId, TeamConfiguration> teams = new TreeMap<>();
    head.manifest()
        .entries()
        .forEach((team, digest) -> teams.put(team, parsePart(parts.get(digest))));
    return teams;
  }

  static TeamConfiguration parsePart(byte[] content) {
    try {
      return TeamConfiguration.parseFrom(content);
    } catch (InvalidProtocolBufferException e) {
      throw new FoxtaildoorException(
          ErrorKind.BAD_CONFIGURATION, "an accepted part cannot be parsed", e);
    }
  }
}
