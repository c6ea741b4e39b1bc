package io.foxtaildoor.process.load;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Compares a load plan with a baseline plan. Each repetition runs both plans, one after the other
 * so that they do not compete for resources. The order is reversed in each repetition so that a
 * drift in the machine's performance affects both equally.
 */
public final class LoadComparison {
  private static final int MAX_REPETITIONS = 100;

  private final LoadRunner runner;

  /** Creates a comparison that runs its plans with the given runner. */
  public LoadComparison(LoadRunner runner) {
    this.runner = runner;
  }

  /**
   * Runs all repetitions and reports the results.
   *
   * @throws FoxtaildoorException with {@link ErrorKind#INVALID_INPUT} when the number of
   *     repetitions is not between 1 and 100
   */
  public CompletableFuture<LoadReport> run(
      String title, LoadPlan candidate, LoadPlan baseline, int repetitions) {
    if (repetitions < 1 || repetitions > MAX_REPETITIONS) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT, "the number of repetitions must be in 1 to 100");
    }
    List<LoadResult> runs = new ArrayList<>();
    List<LoadResult> baselines = new ArrayList<>();
    CompletableFuture<Void> all = CompletableFuture.completedFuture(null);
    for (int i = 0; i < repetitions; i++) {
      boolean candidateFirst = i % 2 == 0;
      all =
          appendRun(all, candidateFirst ? candidate : baseline, candidateFirst ? runs : baselines);
      all =
          appendRun(all, candidateFirst ? baseline : candidate, candidateFirst ? baselines : runs);
    }
    return all.thenApply(done -> LoadReport.compare(title, runs, baselines));
  }

  private CompletableFuture<Void> appendRun(
      CompletableFuture<Void> former, LoadPlan plan, List<LoadResult> results) {
    return former.thenCompose(done -> runner.run(plan)).thenAccept(results::add);
  }
}
