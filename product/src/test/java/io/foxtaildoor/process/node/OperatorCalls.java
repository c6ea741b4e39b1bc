package io.foxtaildoor.process.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;

/** Client of the operator interface of one node, with the credentials of one operator. */
final class OperatorCalls {
  private final int port;
  private final Map<String, String> credentials;

  OperatorCalls(int port, String credentials) {
    this.port = port;
    this.credentials = Map.of("Authorization", "Bearer " + credentials);
  }

  LoopbackHttp.JsonReply submit(String team, String questionnaire) throws IOException {
    return LoopbackHttp.sendForJson(
        "POST", port, "/v1/questionnaires/" + team, credentials, questionnaire);
  }

  /** Replaces the questionnaire if it still has the given revision. */
  LoopbackHttp.JsonReply amend(String team, long revision, String questionnaire)
      throws IOException {
    Map<String, String> headers =
        Map.of(
            "Authorization", credentials.get("Authorization"), "If-Match", Long.toString(revision));
    return LoopbackHttp.sendForJson(
        "POST", port, "/v1/questionnaires/" + team, headers, questionnaire);
  }

  /** Replaces the newest questionnaire by one with another deadline. */
  LoopbackHttp.JsonReply amendDeadline(String team, int deadlineMillis) throws IOException {
    long revision = questionnaire(team).path("revision").asLong();
    return amend(team, revision, Questionnaires.of(team, deadlineMillis));
  }

  JsonNode questionnaire(String team) throws IOException {
    return LoopbackHttp.sendForJson("GET", port, "/v1/questionnaires/" + team, credentials, "")
        .body();
  }

  LoopbackHttp.JsonReply diff(String team) throws IOException {
    return LoopbackHttp.sendForJson("GET", port, "/v1/config/" + team + "/diff", credentials, "");
  }

  /** Approves the proposal that a diff or a submission returned. */
  LoopbackHttp.JsonReply approve(String team, JsonNode reviewed) throws IOException {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("proposalDigest", reviewed.path("proposalDigest").asText());
    if (reviewed.hasNonNull("baseDigest")) {
      body.put("baseDigest", reviewed.path("baseDigest").asText());
    }
    return LoopbackHttp.sendForJson(
        "POST", port, "/v1/config/" + team + "/approve", credentials, body.toString());
  }

  LoopbackHttp.JsonReply approveProposal(String team) throws IOException {
    return approve(team, diff(team).body());
  }

  /** Amends the questionnaire with another deadline, approves it, and returns the new version. */
  long amendAndApprove(String team, int deadlineMillis) throws IOException {
    LoopbackHttp.JsonReply amended = amendDeadline(team, deadlineMillis);
    LoopbackHttp.JsonReply approved = approve(team, amended.body());
    if (approved.status() != 200) {
      throw new AssertionError("approval failed: amendment " + amended + ", approval " + approved);
    }
    return approved.body().path("version").asLong();
  }

  LoopbackHttp.JsonReply audit() throws IOException {
    return LoopbackHttp.sendForJson("GET", port, "/v1/audit?limit=50", credentials, "");
  }
}
