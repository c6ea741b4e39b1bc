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

/** Checks of documents whose faults stop a request. */
final class ProposalChecks {
  private ProposalChecks() {}

  /** Stops a request with the problems of a questionnaire. */
  static final class InvalidException extends RuntimeException {
    private final transient List<Problem> problems;

    InvalidException(List<Problem> problems) {
      super(problems.size() + " problems", null, false, false);
      this.problems = List.copyOf(problems);
    }

    List<Problem> problems() {
      return problems;
    }
  }

  /** Reads a document; throws when it has problems. */
  static Proposal read(String document) {
    ReadResult result = QuestionnaireReader.read(document);
    if (result instanceof ReadResult.Invalid invalid) {
      throw new InvalidException(invalid.problems());
    }
    Proposal proposal = Proposal.of((ReadResult.Valid) result);
    if (proposal.content().length > PlatformClient.MAX_VALUE_BYTES) {
      throw invalid(
          proposal,
          ProblemKind.TOO_LARGE,
          "",
          "the generated configuration is larger than the platform can hold");
    }
    return proposal;
  }

  /** Checks that a proposal is the one of the team that the request names. */
  static void requireTeam(Proposal proposal, TeamId team) {
    if (!proposal.questionnaire().team().equals(team)) {
      throw invalid(proposal, ProblemKind.INCONSISTENT, "team", "the request is for team " + team);
    }
  }

  /** Checks that an operator acts for the member of a proposal. */
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

  private static InvalidException invalid(
      Proposal proposal, ProblemKind kind, String path, String message) {
    return new InvalidException(
        List.of(new Problem(kind, path, proposal.places().lineOf(path), message)));
  }

  /** Checks a proposal against all accepted teams; throws when it has problems. */
  static void crossCheck(Proposal proposal, AcceptedHead head, Map<Digest, byte[]> parts) {
    List<Problem> problems =
        CrossTeamValidator.validate(
            proposal.questionnaire(), proposal.places(), teams(head, parts));
    if (!problems.isEmpty()) {
      throw new InvalidException(problems);
    }
  }

  private static Map<TeamId, TeamConfiguration> teams(
      AcceptedHead head, Map<Digest, byte[]> parts) {
    Map<TeamId, TeamConfiguration> teams = new TreeMap<>();
    head.manifest().entries().forEach((team, digest) -> teams.put(team, parse(parts.get(digest))));
    return teams;
  }

  static TeamConfiguration parse(byte[] content) {
    try {
      return TeamConfiguration.parseFrom(content);
    } catch (InvalidProtocolBufferException e) {
      throw new FoxtaildoorException(
          ErrorKind.BAD_CONFIGURATION, "an accepted part is unreadable", e);
    }
  }
}
