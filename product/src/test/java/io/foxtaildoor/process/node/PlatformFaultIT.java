package io.foxtaildoor.process.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests of platform failures and of concurrent changes by operators. */
public final class PlatformFaultIT {
  private static final String TEAM = "bookings-team";
  private static final Set<String> UNAVAILABLE_KINDS =
      Set.of("platform-unavailable", "platform-outcome-unknown");

  private Mesh mesh;
  private int deadlineMillis = 2000;

  @BeforeClass
  public void startMesh() throws IOException {
    mesh = Mesh.start();
  }

  @AfterClass(alwaysRun = true)
  public void stopMesh() {
    if (mesh != null) {
      mesh.close();
    }
  }

  /**
   * Returns a deadline that no questionnaire has had before, so that each change results in a new
   * proposal.
   */
  private int nextDeadline() {
    deadlineMillis += 10;
    return deadlineMillis;
  }

  /**
   * Guards against an accepted version that cannot be applied while the platform is down, whether
   * it refuses connections or does not answer.
   */
  @Test(priority = 1)
  public void acceptedVersionIsAppliedWithoutPlatform() throws IOException {
    OperatorCalls operators = mesh.operatorCalls(Mesh.BOOKINGS_A);
    for (String down : List.of("refused", "unanswered")) {
      try (RequestLoad load = RequestLoad.start(mesh.nodes())) {
        long version = operators.amendAndApprove(TEAM, nextDeadline());
        mesh.platformFault("{\"down\": \"" + down + "\"}");
        try {
          mesh.awaitVersion(version);
          load.awaitAnswers(40);
          for (LoopbackHttp.JsonReply reply :
              List.of(operators.diff(TEAM), operators.submit(TEAM, Questionnaires.of(TEAM, 1)))) {
            assertEquals(reply.status(), 503, reply.toString());
            assertTrue(UNAVAILABLE_KINDS.contains(reply.kind()), reply.toString());
          }
        } finally {
          mesh.platformFault("{\"down\": \"none\"}");
        }
        awaitOperatorInterface(operators);
        long next = operators.amendAndApprove(TEAM, nextDeadline());
        assertEquals(next, version + 1);
        mesh.awaitVersion(next);
        List<RequestLoad.Result> results = load.finish();
        RequestChecks.checkResults(mesh, results, null);
        RequestChecks.checkAllAnswered(results);
      }
      mesh.awaitHealthyFleet();
    }
  }

  private static void awaitOperatorInterface(OperatorCalls operators) {
    Polling.await(
        "the operator interface works again",
        () -> {
          try {
            return operators.diff(TEAM).status() == 200;
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  /**
   * Guards against a version that is created twice or lost when the answers to platform writes are
   * lost.
   */
  @Test(priority = 2)
  public void approvalWithLostPlatformAnswersCreatesOneVersion() throws IOException {
    OperatorCalls operators = mesh.operatorCalls(Mesh.BOOKINGS_B);
    for (int lost : new int[] {1, 2, 3, -1}) {
      long before = Mesh.versionOf(mesh.node(Mesh.BOOKINGS_B));
      JsonNode reviewed = operators.amendDeadline(TEAM, nextDeadline()).body();
      mesh.platformFault("{\"loseAnswers\": " + lost + "}");
      LoopbackHttp.JsonReply first;
      try {
        first = operators.approve(TEAM, reviewed);
      } finally {
        mesh.platformFault("{\"loseAnswers\": 0}");
      }
      boolean unknown = first.status() == 503 && UNAVAILABLE_KINDS.contains(first.kind());
      assertTrue(first.status() == 200 || unknown, "lost " + lost + ": " + first);
      LoopbackHttp.JsonReply repeated = operators.approve(TEAM, reviewed);
      assertEquals(repeated.status(), 200, "lost " + lost + ": " + repeated);
      assertEquals(repeated.body().path("version").asLong(), before + 1);
      mesh.awaitVersion(before + 1);
      assertEquals(mesh.status(Mesh.BOOKINGS_A).path("version").asLong(), before + 1);
    }
    mesh.awaitHealthyFleet();
  }

  /**
   * Guards against two approvals that both succeed on the same base version, and against an
   * approval that is lost.
   */
  @Test(priority = 3)
  public void concurrentApprovalsCreateOneVersionPerSuccess() throws IOException {
    for (int round = 0; round < 5; round++) {
      long before = Mesh.versionOf(mesh.node(Mesh.BOOKINGS_A));
      OperatorCalls clientA = mesh.operatorCalls(Mesh.BOOKINGS_A);
      OperatorCalls clientB = mesh.operatorCalls(Mesh.INVENTORY_B);
      long revision = clientA.questionnaire(TEAM).path("revision").asLong();
      JsonNode base = clientA.amend(TEAM, revision, Questionnaires.of(TEAM, nextDeadline())).body();
      String other = Questionnaires.of(TEAM, nextDeadline());
      CompletableFuture<LoopbackHttp.JsonReply> approval =
          callAsync(() -> clientA.approve(TEAM, base));
      CompletableFuture<LoopbackHttp.JsonReply> amendment =
          callAsync(() -> clientB.amend(TEAM, revision + 1, other));
      LoopbackHttp.JsonReply approved = approval.join();
      LoopbackHttp.JsonReply amended = amendment.join();
      assertTrue(Set.of(200, 409).contains(approved.status()), approved.toString());
      assertEquals(amended.status(), 200, amended.toString());
      long expected = before + (approved.status() == 200 ? 1 : 0);
      mesh.awaitVersion(expected);
      JsonNode review = clientA.diff(TEAM).body();
      CompletableFuture<LoopbackHttp.JsonReply> first =
          callAsync(() -> clientA.approve(TEAM, review));
      CompletableFuture<LoopbackHttp.JsonReply> second =
          callAsync(() -> clientB.approve(TEAM, review));
      assertOneVersionCreated(first.join(), second.join(), expected + 1);
      mesh.awaitVersion(expected + 1);
      assertEquals(mesh.status(Mesh.BOOKINGS_B).path("version").asLong(), expected + 1);
    }
    mesh.awaitHealthyFleet();
  }

  /**
   * Checks the responses to two identical approvals: both may name the new version, but only one
   * may have created it.
   */
  private static void assertOneVersionCreated(
      LoopbackHttp.JsonReply first, LoopbackHttp.JsonReply second, long version) {
    int successes = 0;
    for (LoopbackHttp.JsonReply reply : List.of(first, second)) {
      assertTrue(Set.of(200, 409).contains(reply.status()), reply.toString());
      if (reply.status() == 200) {
        assertEquals(reply.body().path("version").asLong(), version, reply.toString());
        successes += reply.body().path("acceptedBefore").asBoolean() ? 0 : 1;
      }
    }
    assertEquals(successes, 1, first + " and " + second);
  }

  /** Guards against two amendments of the same revision that both succeed. */
  @Test(priority = 4)
  public void onlyOneOfTwoConcurrentAmendmentsSucceeds() throws IOException {
    OperatorCalls clientA = mesh.operatorCalls(Mesh.BOOKINGS_A);
    OperatorCalls clientB = mesh.operatorCalls(Mesh.BOOKINGS_B);
    for (int round = 0; round < 5; round++) {
      long revision = clientA.questionnaire(TEAM).path("revision").asLong();
      String mine = Questionnaires.of(TEAM, nextDeadline());
      String theirs = Questionnaires.of(TEAM, nextDeadline());
      CompletableFuture<LoopbackHttp.JsonReply> first =
          callAsync(() -> clientA.amend(TEAM, revision, mine));
      CompletableFuture<LoopbackHttp.JsonReply> second =
          callAsync(() -> clientB.amend(TEAM, revision, theirs));
      Set<Integer> statuses = Set.of(first.join().status(), second.join().status());
      assertEquals(statuses, Set.of(200, 409), first.join() + " and " + second.join());
      assertEquals(clientA.questionnaire(TEAM).path("revision").asLong(), revision + 1);
    }
  }

  @FunctionalInterface
  private interface OperatorCall {
    LoopbackHttp.JsonReply call() throws IOException;
  }

  private static CompletableFuture<LoopbackHttp.JsonReply> callAsync(OperatorCall call) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return call.call();
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  /**
   * Guards against an approval that takes effect although the operator is not authorized or
   * reviewed an outdated proposal.
   */
  @Test(priority = 5)
  public void invalidApprovalsAreRefusedAndAudited() throws IOException {
    long before = Mesh.versionOf(mesh.node(Mesh.BOOKINGS_A));
    OperatorCalls operators = mesh.operatorCalls(Mesh.BOOKINGS_A);
    JsonNode stale = operators.amendDeadline(TEAM, nextDeadline()).body();
    JsonNode reviewed = operators.amendDeadline(TEAM, nextDeadline()).body();
    int port = mesh.node(Mesh.BOOKINGS_A).operatorPort();
    LoopbackHttp.JsonReply unknown =
        new OperatorCalls(port, "nobody:no-such-token").approve(TEAM, reviewed);
    LoopbackHttp.JsonReply wrong =
        new OperatorCalls(port, "amina:wrong-token-x").approve(TEAM, reviewed);
    LoopbackHttp.JsonReply foreign =
        new OperatorCalls(port, "bjorn:bjorn-test-token").approve(TEAM, reviewed);
    LoopbackHttp.JsonReply old = operators.approve(TEAM, stale);
    assertEquals(unknown.status(), 401, unknown.toString());
    assertEquals(wrong.status(), 401, wrong.toString());
    assertEquals(foreign.status(), 403, foreign.toString());
    assertEquals(old.status(), 409, old.toString());
    assertEquals(mesh.status(Mesh.BOOKINGS_A).path("version").asLong(), before);
    Polling.await("refusals in the audit trail", () -> countRefusals(operators) >= 4);
    JsonNode present = operators.questionnaire(TEAM);
    assertEquals(present.path("proposalDigest"), reviewed.path("proposalDigest"));
    assertFalse(present.path("acceptedDigest").equals(present.path("proposalDigest")));
    mesh.awaitHealthyFleet();
  }

  private static long countRefusals(OperatorCalls operators) {
    try {
      long count = 0;
      for (JsonNode entry : operators.audit().body().path("entries")) {
        count += entry.path("action").asText().contains("refus") ? 1 : 0;
      }
      return count;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Guards against an approval that a paused node misses when the platform goes down meanwhile. */
  @Test(priority = 6)
  public void resumedNodeCatchesUpWithoutPlatform() throws IOException {
    MeshNode paused = mesh.node(Mesh.INVENTORY_B);
    List<MeshNode> others = mesh.nodesExcept(Mesh.INVENTORY_B);
    paused.process().pause();
    try {
      long version = mesh.operatorCalls(Mesh.BOOKINGS_A).amendAndApprove(TEAM, nextDeadline());
      mesh.platformFault("{\"down\": \"unanswered\"}");
      Polling.await(
          "the new version on the other nodes", () -> Mesh.allHoldVersion(others, version));
      paused.process().resume();
      mesh.awaitVersion(version);
    } finally {
      paused.process().resume();
      mesh.platformFault("{\"down\": \"none\"}");
    }
    mesh.awaitHealthyFleet();
  }
}
