package io.foxtaildoor.process.load;

/** Renders a load report. */
@FunctionalInterface
public interface ReportFormat {
  /** Returns the rendered report. */
  String render(LoadReport report);

  /** Returns a format that renders a human-readable table. */
  static ReportFormat text() {
    return new TextReport();
  }

  /** Returns a format that renders a JSON document with all figures. */
  static ReportFormat json() {
    return new JsonReport();
  }

  /**
   * Returns a format that renders an SVG plot of the latency percentiles and of the share of
   * requests answered in time, for each stream.
   */
  static ReportFormat svg() {
    return new SvgReport();
  }
}
