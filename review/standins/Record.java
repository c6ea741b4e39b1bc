import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line for each event, with the time in milliseconds since the start. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Milliseconds since the start of the run. */
  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String format, Object... arguments) {
    String text = String.format(Locale.ROOT, format, arguments);
    out.printf(Locale.ROOT, "%7d %s%n", now(), text);
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
