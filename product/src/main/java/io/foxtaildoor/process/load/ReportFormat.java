package io.foxtaildoor.process.load;

/** Renders a load report. */
@FunctionalInterface
public interface ReportFormat {
  /** Returns the text of the report. */
  String render(LoadReport report);

  /** A table for people. */
  static ReportFormat text() {
    return new TextReport();
  }

  /** A JSON document with all figures. */
  static ReportFormat json() {
    return new JsonReport();
  }

  /** An SVG plot of latency percentiles and of the share answered in time, by stream. */
  static ReportFormat svg() {
    return new SvgReport();
  }
}
