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

/** Faults of the platform and races of operators. */
public final class PlatformFaultIT {
  private static final String TEAM = "bookings-team";
  private static final Set<String> UNAVAILABLE =
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

  /** A deadline that no questionnaire had before, so that each change makes a new proposal. */
  private int nextDeadline() {
    deadlineMillis += 10;
    return deadlineMillis;
  }

  /** Guards against an accepted version that needs the platform to get in force; twice. */
  @Test(priority = 1)
  public void acceptedVersionGetsInForceWithoutThePlatform() throws IOException {
    Operators operators = mesh.operators(Mesh.BOOKINGS_A);
    for (String down : List.of("refused", "unanswered")) {
      try (RequestLoad load = RequestLoad.start(mesh.nodes())) {
        long version = operators.change(TEAM, nextDeadline());
        mesh.platformFault("{\"down\": \"" + down + "\"}");
        try {
          mesh.awaitInForce(version);
          load.awaitAnswers(40);
          for (LoopbackHttp.JsonReply reply :
              List.of(operators.diff(TEAM), operators.submit(TEAM, Questionnaires.of(TEAM, 1)))) {
            assertEquals(reply.status(), 503, reply.toString());
            assertTrue(UNAVAILABLE.contains(reply.kind()), reply.toString());
          }
        } finally {
          mesh.platformFault("{\"down\": \"none\"}");
        }
        awaitOperators(operators);
        long next = operators.change(TEAM, nextDeadline());
        assertEquals(next, version + 1);
        mesh.awaitInForce(next);
        List<RequestLoad.Result> results = load.finish();
        RequestChecks.checkResults(mesh, results, null);
        RequestChecks.checkAllAnswered(results);
      }
      mesh.awaitWhole();
    }
  }

  private static void awaitOperators(Operators operators) {
    Polling.await(
        "operators served again",
        () -> {
          try {
            return operators.diff(TEAM).status() == 200;
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  /** Guards against a version that is made twice or lost when answers of writes are lost. */
  @Test(priority = 2)
  public void lostAnswersOfAnApprovalMakeOneVersion() throws IOException {
    Operators operators = mesh.operators(Mesh.BOOKINGS_B);
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
      boolean unknown = first.status() == 503 && UNAVAILABLE.contains(first.kind());
      assertTrue(first.status() == 200 || unknown, "lost " + lost + ": " + first);
      LoopbackHttp.JsonReply repeated = operators.approve(TEAM, reviewed);
      assertEquals(repeated.status(), 200, "lost " + lost + ": " + repeated);
      assertEquals(repeated.body().path("version").asLong(), before + 1);
      mesh.awaitInForce(before + 1);
      assertEquals(mesh.status(Mesh.BOOKINGS_A).path("version").asLong(), before + 1);
    }
    mesh.awaitWhole();
  }

  /** Guards against two approvals that both succeed on the same base, or a lost one. */
  @Test(priority = 3)
  public void racingApprovalsRaiseTheVersionOncePerSuccess() throws IOException {
    for (int round = 0; round < 5; round++) {
      long before = Mesh.versionOf(mesh.node(Mesh.BOOKINGS_A));
      Operators left = mesh.operators(Mesh.BOOKINGS_A);
      Operators right = mesh.operators(Mesh.INVENTORY_B);
      long revision = left.show(TEAM).path("revision").asLong();
      JsonNode base = left.amend(TEAM, revision, Questionnaires.of(TEAM, nextDeadline())).body();
      String other = Questionnaires.of(TEAM, nextDeadline());
      CompletableFuture<LoopbackHttp.JsonReply> approval = later(() -> left.approve(TEAM, base));
      CompletableFuture<LoopbackHttp.JsonReply> amendment =
          later(() -> right.amend(TEAM, revision + 1, other));
      LoopbackHttp.JsonReply approved = approval.join();
      LoopbackHttp.JsonReply amended = amendment.join();
      assertTrue(Set.of(200, 409).contains(approved.status()), approved.toString());
      assertEquals(amended.status(), 200, amended.toString());
      long expected = before + (approved.status() == 200 ? 1 : 0);
      mesh.awaitInForce(expected);
      JsonNode review = left.diff(TEAM).body();
      CompletableFuture<LoopbackHttp.JsonReply> one = later(() -> left.approve(TEAM, review));
      CompletableFuture<LoopbackHttp.JsonReply> two = later(() -> right.approve(TEAM, review));
      assertOneVersion(one.join(), two.join(), expected + 1);
      mesh.awaitInForce(expected + 1);
      assertEquals(mesh.status(Mesh.BOOKINGS_B).path("version").asLong(), expected + 1);
    }
    mesh.awaitWhole();
  }

  /** Identical approvals may both be told of the one version; no other success is possible. */
  private static void assertOneVersion(LoopbackHttp.JsonReply one, LoopbackHttp.JsonReply two, long version) {
    int successes = 0;
    for (LoopbackHttp.JsonReply reply : List.of(one, two)) {
      assertTrue(Set.of(200, 409).contains(reply.status()), reply.toString());
      if (reply.status() == 200) {
        assertEquals(reply.body().path("version").asLong(), version, reply.toString());
        successes += reply.body().path("acceptedBefore").asBoolean() ? 0 : 1;
      }
    }
    assertEquals(successes, 1, one + " and " + two);
  }

  /** Guards against two amendments of one revision that both succeed. */
  @Test(priority = 4)
  public void oneOfTwoRacingAmendmentsSucceeds() throws IOException {
    Operators left = mesh.operators(Mesh.BOOKINGS_A);
    Operators right = mesh.operators(Mesh.BOOKINGS_B);
    for (int round = 0; round < 5; round++) {
      long revision = left.show(TEAM).path("revision").asLong();
      String mine = Questionnaires.of(TEAM, nextDeadline());
      String theirs = Questionnaires.of(TEAM, nextDeadline());
      CompletableFuture<LoopbackHttp.JsonReply> one = later(() -> left.amend(TEAM, revision, mine));
      CompletableFuture<LoopbackHttp.JsonReply> two = later(() -> right.amend(TEAM, revision, theirs));
      Set<Integer> statuses = Set.of(one.join().status(), two.join().status());
      assertEquals(statuses, Set.of(200, 409), one.join() + " and " + two.join());
      assertEquals(left.show(TEAM).path("revision").asLong(), revision + 1);
    }
  }

  @FunctionalInterface
  private interface OperatorCall {
    LoopbackHttp.JsonReply call() throws IOException;
  }

  private static CompletableFuture<LoopbackHttp.JsonReply> later(OperatorCall call) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return call.call();
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  /** Guards against an approval without the right, or of an older review, that changes anything. */
  @Test(priority = 5)
  public void badApprovalsAreRefusedAndAudited() throws IOException {
    long before = Mesh.versionOf(mesh.node(Mesh.BOOKINGS_A));
    Operators operators = mesh.operators(Mesh.BOOKINGS_A);
    JsonNode stale = operators.amendDeadline(TEAM, nextDeadline()).body();
    JsonNode reviewed = operators.amendDeadline(TEAM, nextDeadline()).body();
    int port = mesh.node(Mesh.BOOKINGS_A).operatorPort();
    LoopbackHttp.JsonReply unknown = new Operators(port, "nobody:no-such-token").approve(TEAM, reviewed);
    LoopbackHttp.JsonReply wrong = new Operators(port, "amina:wrong-token-x").approve(TEAM, reviewed);
    LoopbackHttp.JsonReply foreign = new Operators(port, "bjorn:bjorn-test-token").approve(TEAM, reviewed);
    LoopbackHttp.JsonReply old = operators.approve(TEAM, stale);
    assertEquals(unknown.status(), 401, unknown.toString());
    assertEquals(wrong.status(), 401, wrong.toString());
    assertEquals(foreign.status(), 403, foreign.toString());
    assertEquals(old.status(), 409, old.toString());
    assertEquals(mesh.status(Mesh.BOOKINGS_A).path("version").asLong(), before);
    Polling.await("refusals in the audit trail", () -> refusals(operators) >= 4);
    JsonNode present = operators.show(TEAM);
    assertEquals(present.path("proposalDigest"), reviewed.path("proposalDigest"));
    assertFalse(present.path("acceptedDigest").equals(present.path("proposalDigest")));
    mesh.awaitWhole();
  }

  private static long refusals(Operators operators) {
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

  /** Guards against an approval that is lost while a node is paused and the platform goes down. */
  @Test(priority = 6)
  public void pausedNodeCatchesUpWithoutThePlatform() throws IOException {
    MeshNode paused = mesh.node(Mesh.INVENTORY_B);
    List<MeshNode> others = mesh.nodesExcept(Mesh.INVENTORY_B);
    paused.process().pause();
    try {
      long version = mesh.operators(Mesh.BOOKINGS_A).change(TEAM, nextDeadline());
      mesh.platformFault("{\"down\": \"unanswered\"}");
      Polling.await("the version on the others", () -> Mesh.inForce(others, version));
      paused.process().resume();
      mesh.awaitInForce(version);
    } finally {
      paused.process().resume();
      mesh.platformFault("{\"down\": \"none\"}");
    }
    mesh.awaitWhole();
  }
}
