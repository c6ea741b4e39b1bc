package io.foxtaildoor.process.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Renders the last repetition as an SVG plot. The left side shows the latency percentiles of each
 * stream on a logarithmic scale, the right side the share of requests answered in time. The
 * baseline is drawn with reduced opacity.
 */
final class SvgReport implements ReportFormat {
  private static final int ROW_HEIGHT = 54;
  private static final int BAR_HEIGHT = 12;
  private static final int TOP = 70;
  private static final int LABEL_WIDTH = 190;
  private static final int LATENCY_WIDTH = 360;
  private static final int SHARE_LEFT = LABEL_WIDTH + LATENCY_WIDTH + 90;
  private static final int SHARE_WIDTH = 200;
  private static final int WIDTH = SHARE_LEFT + SHARE_WIDTH + 90;

  /** Number of decades on the latency scale, which ranges from 10 µs to 100 s. */
  private static final int DECADES = 7;

  private static final double SCALE_START_MICROS = 10;
  private static final String[] PERCENTILE_LABELS = {"p50", "p90", "p99"};
  private static final String[] COLOURS = {"#2b6cb0", "#dd8a1e", "#b03030"};
  private static final String SHARE_COLOUR = "#2f855a";
  private static final double BASELINE_OPACITY = 0.45;

  /** A stream with its label and opacity in the plot. */
  private record Row(String label, StreamResult stream, double opacity) {}

  @Override
  public String render(LoadReport report) {
    List<Row> rows = rows(report);
    int height = TOP + rows.size() * ROW_HEIGHT + 20;
    StringBuilder svg = new StringBuilder();
    svg.append(
        format(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                + " font-family=\"sans-serif\" font-size=\"11\">",
            WIDTH, height));
    svg.append(textElement(10, 20, report.title()));
    svg.append(textElement(SHARE_LEFT, TOP - 14, "answered in time"));
    appendScale(svg, height);
    for (int i = 0; i < rows.size(); i++) {
      appendRow(svg, rows.get(i), TOP + i * ROW_HEIGHT);
    }
    return svg.append("</svg>").append(System.lineSeparator()).toString();
  }

  private static List<Row> rows(LoadReport report) {
    List<Row> rows = new ArrayList<>();
    if (report.runs().isEmpty()) {
      return rows;
    }
    int last = report.runs().size() - 1;
    for (StreamResult stream : report.runs().get(last).streams()) {
      rows.add(new Row(label(stream), stream, 1));
      if (!report.baselines().isEmpty()) {
        for (StreamResult baseline : report.baselines().get(last).streams()) {
          if (baseline.name().equals(stream.name())) {
            rows.add(new Row("baseline", baseline, BASELINE_OPACITY));
          }
        }
      }
    }
    return rows;
  }

  private static String label(StreamResult stream) {
    return stream.rank().isEmpty() ? stream.name() : stream.name() + " (" + stream.rank() + ")";
  }

  private static void appendScale(StringBuilder svg, int height) {
    String[] names = {"10 µs", "100 µs", "1 ms", "10 ms", "100 ms", "1 s", "10 s", "100 s"};
    for (int decade = 0; decade <= DECADES; decade++) {
      int x = LABEL_WIDTH + decade * LATENCY_WIDTH / DECADES;
      svg.append(
          format(
              "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#cccccc\"/>",
              x, TOP - 8, x, height - 10));
      svg.append(textElement(x - 12, TOP - 14, names[decade]));
    }
  }

  private static void appendRow(StringBuilder svg, Row row, int y) {
    svg.append(textElement(10, y + 20, row.label()));
    Latency latency = row.stream().latency();
    long[] micros = {latency.p50Micros(), latency.p90Micros(), latency.p99Micros()};
    for (int i = 0; i < micros.length; i++) {
      int barY = y + i * (BAR_HEIGHT + 2);
      int width = latencyWidth(micros[i]);
      svg.append(barElement(LABEL_WIDTH, barY, width, COLOURS[i], row.opacity()));
      String value = format("%s %.2f ms", PERCENTILE_LABELS[i], micros[i] / 1_000.0);
      svg.append(textElement(LABEL_WIDTH + width + 4, barY + BAR_HEIGHT - 2, value));
    }
    double share = row.stream().inTimeShare();
    int shareWidth = (int) Math.round(share * SHARE_WIDTH);
    svg.append(barElement(SHARE_LEFT, y + BAR_HEIGHT, shareWidth, SHARE_COLOUR, row.opacity()));
    String value = format("%.2f%%", 100 * share);
    svg.append(textElement(SHARE_LEFT + shareWidth + 4, y + 2 * BAR_HEIGHT - 2, value));
  }

  private static int latencyWidth(long micros) {
    double decades = Math.log10(Math.max((double) micros, SCALE_START_MICROS) / SCALE_START_MICROS);
    return (int) Math.round(Math.min(decades, DECADES) * LATENCY_WIDTH / DECADES);
  }

  private static String barElement(int x, int y, int width, String colour, double opacity) {
    return format(
        "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"%s\" opacity=\"%.2f\"/>",
        x, y, width, BAR_HEIGHT, colour, opacity);
  }

  private static String textElement(int x, int y, String content) {
    return format("<text x=\"%d\" y=\"%d\">%s</text>", x, y, escape(content));
  }

  private static String escape(String content) {
    return content
        .replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }

  private static String format(String format, Object... values) {
    return String.format(Locale.ROOT, format, values);
  }
}
