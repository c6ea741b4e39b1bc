package io.foxtaildoor.process.cli;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.process.load.LoadComparison;
import io.foxtaildoor.process.load.LoadPlan;
import io.foxtaildoor.process.load.LoadPlanReader;
import io.foxtaildoor.process.load.LoadReport;
import io.foxtaildoor.process.load.LoadResult;
import io.foxtaildoor.process.load.LoadRunner;
import io.foxtaildoor.process.load.ReportFormat;
import io.foxtaildoor.process.node.EventLoops;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.kohsuke.args4j.Option;

/**
 * The {@code load} subcommand: runs a load plan, optionally alternating with a baseline plan, and
 * writes reports.
 */
final class LoadCommand implements Command {
  private static final int EVENT_LOOPS = 2;

  @Option(name = "--plan", metaVar = "FILE", required = true, usage = "load plan in YAML")
  private String plan;

  @Option(
      name = "--baseline",
      metaVar = "FILE",
      usage = "baseline load plan, run alternately with the first plan; median ratios are reported")
  private String baseline;

  @Option(name = "--repetitions", metaVar = "N", usage = "number of runs of each plan, 1 to 100")
  private int repetitions = 1;

  @Option(
      name = "--json",
      metaVar = "FILE",
      usage = "file to which the report is also written as JSON")
  private String json;

  @Option(name = "--svg", metaVar = "FILE", usage = "file to which a plot is also written as SVG")
  private String svg;

  @Override
  public int run(PrintStream out, PrintStream err) {
    LoadPlan candidate = read(plan);
    LoadPlan baselinePlan = baseline == null ? null : read(baseline);
    EventLoopGroup group = EventLoops.create(EVENT_LOOPS);
    try {
      LoadReport report = run(new LoadRunner(group, System::nanoTime), candidate, baselinePlan);
      out.print(ReportFormat.text().render(report));
      write(json, ReportFormat.json(), report);
      write(svg, ReportFormat.svg(), report);
      return Main.EXIT_SUCCESS;
    } catch (CompletionException e) {
      if (e.getCause() instanceof FoxtaildoorException failure) {
        throw failure;
      }
      throw e;
    } finally {
      EventLoops.shutdown(group);
    }
  }

  private LoadReport run(LoadRunner runner, LoadPlan candidate, LoadPlan baselinePlan) {
    if (baselinePlan != null) {
      return new LoadComparison(runner).run(plan, candidate, baselinePlan, repetitions).join();
    }
    List<LoadResult> results = new ArrayList<>();
    for (int i = 0; i < repetitions; i++) {
      results.add(runner.run(candidate).join());
    }
    return LoadReport.of(plan, results);
  }

  private static LoadPlan read(String file) {
    return LoadPlanReader.read(new String(OperatorCommand.readFile(file), StandardCharsets.UTF_8));
  }

  private static void write(String file, ReportFormat format, LoadReport report) {
    if (file == null) {
      return;
    }
    try {
      Files.writeString(Path.of(file), format.render(report));
    } catch (IOException e) {
      throw new FoxtaildoorException(
          ErrorKind.INVALID_INPUT, "report " + file + " cannot be written", e);
    }
  }
}
