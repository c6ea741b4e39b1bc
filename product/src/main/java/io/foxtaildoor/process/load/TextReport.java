package io.foxtaildoor.process.load;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Renders a report as a human-readable table. */
final class TextReport implements ReportFormat {
  private static final double MICROS_PER_MILLI = 1_000;
  private static final String HEADER =
      String.format(
          Locale.ROOT,
          "%-20s %-8s %9s %9s %8s %8s %8s %8s %8s %8s %8s %8s%n",
          "stream",
          "rank",
          "intended",
          "answered",
          "in time",
          "not run",
          "unknown",
          "crossed",
          "p50 ms",
          "p99 ms",
          "p99.9 ms",
          "max ms");

  @Override
  public String render(LoadReport report) {
    StringBuilder text = new StringBuilder(report.title()).append(System.lineSeparator());
    appendRuns(text, "run", report.runs());
    appendRuns(text, "baseline", report.baselines());
    if (!report.ratios().isEmpty()) {
      text.append(String.format("%nmedian of candidate / baseline%n"));
      text.append(format("%-20s %8s %8s %8s%n", "stream", "p50", "p99", "in time"));
      for (StreamRatio ratio : report.ratios()) {
        text.append(
            format(
                "%-20s %8.3f %8.3f %8.3f%n",
                ratio.name(), ratio.p50(), ratio.p99(), ratio.inTimeShare()));
      }
    }
    return text.toString();
  }

  private static void appendRuns(StringBuilder text, String label, List<LoadResult> runs) {
    for (int i = 0; i < runs.size(); i++) {
      LoadResult run = runs.get(i);
      text.append(format("%n%s %d, %.1f s measured%n", label, i + 1, run.measuredSeconds()));
      text.append(HEADER);
      run.streams().forEach(stream -> appendStream(text, stream));
      run.streams().forEach(stream -> appendCounts(text, stream));
    }
  }

  private static void appendStream(StringBuilder text, StreamResult stream) {
    Latency latency = stream.latency();
    text.append(
        format(
            "%-20s %-8s %9d %9d %7.2f%% %8d %8d %8d %8.2f %8.2f %8.2f %8.2f%n",
            stream.name(),
            stream.rank(),
            stream.intended(),
            stream.answered(),
            100 * stream.inTimeShare(),
            stream.notRun(),
            stream.unknown(),
            stream.crossedAnswers(),
            latency.p50Micros() / MICROS_PER_MILLI,
            latency.p99Micros() / MICROS_PER_MILLI,
            latency.p999Micros() / MICROS_PER_MILLI,
            latency.maxMicros() / MICROS_PER_MILLI));
  }

  private static void appendCounts(StringBuilder text, StreamResult stream) {
    appendMap(text, stream.name(), "statuses", stream.statuses());
    appendMap(text, stream.name(), "errors", stream.errors());
    appendMap(text, stream.name(), "without answer", stream.failures());
    if (stream.missingEchoes() > 0) {
      text.append(format("%s: missing echo ids %d%n", stream.name(), stream.missingEchoes()));
    }
  }

  private static <K extends Comparable<K>> void appendMap(
      StringBuilder text, String stream, String label, Map<K, Long> counts) {
    if (!counts.isEmpty()) {
      text.append(format("%s: %s %s%n", stream, label, new TreeMap<>(counts)));
    }
  }

  private static String format(String format, Object... values) {
    return String.format(Locale.ROOT, format, values);
  }
}
