package io.foxtaildoor.process.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;

/** Checks that apply to the result of every request, whichever component failed in the meantime. */
final class RequestChecks {
  private RequestChecks() {}

  /**
   * Checks each result against the execution logs of all upstreams.
   *
   * @param unreachable node to which connections of callers may fail; null if there is none
   */
  static void checkResults(Mesh mesh, List<RequestLoad.Result> results, MeshNode unreachable)
      throws IOException {
    assertFalse(results.isEmpty());
    for (RequestLoad.Result result : results) {
      if (result.status() == 200) {
        assertTrue(result.fullyEchoed(), "response to another request: " + result);
      } else if (result.status() == 0) {
        assertEquals(result.node(), unreachable, "connection failed: " + result);
      } else {
        // An error without a kind comes from the upstream itself, and must then answer this
        // request.
        assertTrue(
            !result.kind().isEmpty() || result.echoHeaderMatches(),
            "error without a kind: " + result);
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
      assertEquals(executions, 0, "refused as not run but executed: " + result);
    }
    assertTrue(executions <= 1, "executed " + executions + " times: " + result);
    if (result.status() == 200) {
      assertEquals(executions, 1, "answered but not executed exactly once: " + result);
    }
  }

  /** Checks that every request was answered with status 200. */
  static void checkAllAnswered(List<RequestLoad.Result> results) {
    for (RequestLoad.Result result : results) {
      assertEquals(result.status(), 200, result.toString());
    }
  }
}
