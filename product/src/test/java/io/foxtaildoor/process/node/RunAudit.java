package io.foxtaildoor.process.node;

import static org.testng.Assert.assertEquals;

import io.foxtaildoor.process.node.ManagedMesh.ManagedNode;
import io.foxtaildoor.process.node.RepeatingCaller.Answer;
import io.foxtaildoor.standins.managed.ManagedInstance;
import java.io.IOException;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Compares the answers that callers got with the runs that the instances list. */
final class RunAudit {
  private final Map<String, Run> runsBySignature = new HashMap<>();
  private final Map<String, Run> lastRunsByInstanceAndAttempt = new HashMap<>();

  /**
   * A run of a request on an instance.
   *
   * @param status status of the first answer to the run
   */
  private record Run(ManagedNode node, String signature, int status, String attempt) {}

  /** Whether an answer came from the instance beside the caller's node or over a link. */
  enum Origin {
    LOCAL,
    REMOTE,
    NODE
  }

  /** Numbers of answers by their origin, of which some are wrong. */
  static final class Counts {
    int answers;
    int successes;

    /** Wrong answers, each counted once here and in one or more of the groups below. */
    int wrong;

    /** Successes that bear the signature of another attempt's run or of no run. */
    int successesOfOtherRun;

    /** Successes whose attempt the instance last answered with a failure. */
    int successesForFailure;

    /** Successes whose body differs from the whole body of the answer to the attempt. */
    int wrongBodies;

    /** Signed failures of another attempt's run, or with another status than the run's answer. */
    int wrongFailures;

    @Override
    public String toString() {
      return ("%d answers, %d successes, %d wrong: %d successes of another run, %d successes for a"
              + " failure, %d bodies, %d signed failures")
          .formatted(
              answers,
              successes,
              wrong,
              successesOfOtherRun,
              successesForFailure,
              wrongBodies,
              wrongFailures);
    }
  }

  /** Reads the runs of the instances of all nodes. */
  RunAudit(List<ManagedNode> nodes) throws IOException {
    for (ManagedNode node : nodes) {
      String list =
          LoopbackHttp.send("GET", node.instancePort(), ManagedInstance.RUNS_PATH, Map.of(), "")
              .body();
      list.lines().forEach(line -> addRun(node, line));
    }
  }

  private void addRun(ManagedNode node, String line) {
    String[] fields = line.split(" ", 3);
    Run run = new Run(node, fields[0], Integer.parseInt(fields[1]), fields[2]);
    runsBySignature.put(run.signature(), run);
    lastRunsByInstanceAndAttempt.put(instanceAndAttempt(run.signature(), run.attempt()), run);
  }

  /** Returns a key of the instance that a signature begins with and an attempt. */
  private static String instanceAndAttempt(String signature, String attempt) {
    return signature.substring(0, signature.indexOf('.')) + " " + attempt;
  }

  /** Counts the answers, and the wrong ones among them, by origin. */
  Map<Origin, Counts> count(List<Answer> answers) {
    Map<Origin, Counts> counts = new EnumMap<>(Origin.class);
    for (Origin origin : Origin.values()) {
      counts.put(origin, new Counts());
    }
    for (Answer answer : answers) {
      Run signed = runsBySignature.get(answer.signature());
      add(answer, signed, counts.get(origin(answer, signed)));
    }
    return counts;
  }

  private static Origin origin(Answer answer, Run signed) {
    if (signed == null) {
      return Origin.NODE;
    }
    return signed.node().equals(answer.node()) ? Origin.LOCAL : Origin.REMOTE;
  }

  private void add(Answer answer, Run signed, Counts counts) {
    Run last =
        signed == null
            ? null
            : lastRunsByInstanceAndAttempt.get(
                instanceAndAttempt(answer.signature(), answer.attempt()));
    boolean ownRun = signed != null && signed.equals(last);
    boolean wrong;
    counts.answers++;
    if (answer.isSuccess()) {
      boolean forFailure = last != null && last.status() != answer.status();
      boolean wrongBody = !answer.body().equals(answer.path());
      counts.successes++;
      counts.successesOfOtherRun += ownRun ? 0 : 1;
      counts.successesForFailure += forFailure ? 1 : 0;
      counts.wrongBodies += wrongBody ? 1 : 0;
      wrong = !ownRun || forFailure || wrongBody;
    } else {
      wrong = !answer.signature().isEmpty() && !(ownRun && signed.status() == answer.status());
      counts.wrongFailures += wrong ? 1 : 0;
    }
    counts.wrong += wrong ? 1 : 0;
  }

  /** Fails unless each answer belongs to the run of its attempt. */
  void check(List<Answer> answers) {
    Map<Origin, Counts> counts = count(answers);
    int wrong = counts.values().stream().mapToInt(each -> each.wrong).sum();
    assertEquals(wrong, 0, "wrong answers of " + answers.size() + " attempts: " + counts);
  }
}
