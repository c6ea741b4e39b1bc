package io.foxtaildoor.experiments;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Collects the rows of one experiment, prints them as a text table and writes them as JSON. */
final class Report {
  private static final ObjectMapper JSON =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  private final String name;
  private final Map<String, Object> machineProperties = machineProperties();
  private final List<Map<String, Object>> rows = new ArrayList<>();

  Report(String name) {
    this.name = name;
  }

  /** One row of the report. Columns keep the order in which they were added. */
  static final class Row {
    private final Map<String, Object> cells = new LinkedHashMap<>();

    Row put(String column, Object value) {
      cells.put(column, value instanceof Double number ? roundToThousandths(number) : value);
      return this;
    }

    private static Object roundToThousandths(double number) {
      return Double.isFinite(number) ? Math.round(number * 1000) / 1000.0 : String.valueOf(number);
    }
  }

  /** Adds a row with the current load average, and prints it to standard error. */
  void add(Row row) {
    row.put("loadAverage", loadAverage());
    rows.add(row.cells);
    System.err.println(row.cells);
  }

  private static double loadAverage() {
    return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
  }

  private static Map<String, Object> machineProperties() {
    Map<String, Object> machine = new LinkedHashMap<>();
    machine.put("startedAt", Instant.now().toString());
    machine.put("processors", Runtime.getRuntime().availableProcessors());
    machine.put("architecture", System.getProperty("os.arch"));
    machine.put("java", System.getProperty("java.version"));
    machine.put("loadAverageAtStart", Row.roundToThousandths(loadAverage()));
    return machine;
  }

  /** Prints the table and writes the file {@code NAME.json} to a directory. */
  void write(Path directory, PrintStream out) throws IOException {
    out.println(name + " " + machineProperties);
    out.print(table(rows));
    Files.createDirectories(directory);
    Path file = directory.resolve(name + ".json");
    JSON.writeValue(
        file.toFile(), Map.of("name", name, "machine", machineProperties, "rows", rows));
  }

  /** Formats rows as a table with aligned columns; a missing cell is shown as a dash. */
  static String table(List<Map<String, Object>> rows) {
    Set<String> columns = new LinkedHashSet<>();
    rows.forEach(row -> columns.addAll(row.keySet()));
    StringBuilder text = new StringBuilder();
    Map<String, Integer> widths = new LinkedHashMap<>();
    for (String column : columns) {
      int width = column.length();
      for (Map<String, Object> row : rows) {
        width = Math.max(width, cellText(row, column).length());
      }
      widths.put(column, width);
      text.append(String.format(Locale.ROOT, "%-" + width + "s  ", column));
    }
    text.append('\n');
    for (Map<String, Object> row : rows) {
      widths.forEach(
          (column, width) ->
              text.append(String.format(Locale.ROOT, "%-" + width + "s  ", cellText(row, column))));
      text.append('\n');
    }
    return text.toString();
  }

  private static String cellText(Map<String, Object> row, String column) {
    return String.valueOf(row.getOrDefault(column, "-"));
  }
}
