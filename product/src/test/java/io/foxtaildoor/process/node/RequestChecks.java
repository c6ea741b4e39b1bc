package io.foxtaildoor.process.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;

/** Checks that hold for every request, whatever failed meanwhile. */
final class RequestChecks {
  private RequestChecks() {}

  /**
   * Checks each result against the execution logs of all upstreams.
   *
   * @param unreachable node at which connections of callers may fail, or null
   */
  static void checkResults(Mesh mesh, List<RequestLoad.Result> results, MeshNode unreachable)
      throws IOException {
    assertFalse(results.isEmpty());
    for (RequestLoad.Result result : results) {
      if (result.status() == 200) {
        assertTrue(result.fullyEchoed(), "answer of another request: " + result);
      } else if (result.status() == 0) {
        assertEquals(result.node(), unreachable, "connection failed: " + result);
      } else {
        // An error without a kind is the upstream's own answer, which must be to this request.
        assertTrue(
            !result.kind().isEmpty() || result.echoHeaderMatches(), "untyped error: " + result);
      }
      boolean notRun = result.outcome().equals("not-run");
      if (notRun || !result.idempotent()) {
        checkExecutions(mesh, result, notRun);
      }
    }
  }

  private static void checkExecutions(Mesh mesh, RequestLoad.Result result, boolean notRun)
      throws IOException {
    int executions = 0;
    for (MeshNode node : mesh.nodes()) {
      executions += node.executions(result.id());
    }
    if (notRun) {
      assertEquals(executions, 0, "refused as not run: " + result);
    }
    assertTrue(executions <= 1, "ran " + executions + " times: " + result);
    if (result.status() == 200) {
      assertEquals(executions, 1, "answered: " + result);
    }
  }

  /** Checks that no request failed in any way. */
  static void checkAllAnswered(List<RequestLoad.Result> results) {
    for (RequestLoad.Result result : results) {
      assertEquals(result.status(), 200, result.toString());
    }
  }
}
