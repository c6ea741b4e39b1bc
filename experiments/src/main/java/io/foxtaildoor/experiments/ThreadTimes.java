package io.foxtaildoor.experiments;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Processor time of a process by kind of thread, in nanoseconds. Only live threads are counted, so
 * the difference of two readings leaves out the work of threads that have ended in between.
 */
record ThreadTimes(long mainNanos, long loopNanos, long compilerNanos, long otherNanos) {
  static final ThreadTimes ZERO = new ThreadTimes(0, 0, 0, 0);

  private static final double NANOS_PER_MILLI = 1e6;

  /** Reads the times of all threads of a process from {@code /proc}. */
  static ThreadTimes of(long pid) throws IOException {
    ThreadTimes sum = ZERO;
    try (Stream<Path> threads = Files.list(Path.of("/proc/" + pid + "/task"))) {
      for (Path thread : threads.toList()) {
        sum = sum.plus(ofThread(thread));
      }
    }
    return sum;
  }

  private static ThreadTimes ofThread(Path directory) throws IOException {
    try {
      String name = Files.readString(directory.resolve("comm")).strip();
      return ofThread(name, Files.readString(directory.resolve("schedstat")));
    } catch (NoSuchFileException e) {
      // The thread ended after it was listed.
      return ZERO;
    }
  }

  /**
   * Reads the time of one thread.
   *
   * @param name name of the thread, which the kernel cuts to 15 characters
   * @param schedstat content of its schedstat file, which starts with the nanoseconds on a
   *     processor
   */
  static ThreadTimes ofThread(String name, String schedstat) {
    long nanos = Long.parseLong(schedstat.substring(0, schedstat.indexOf(' ')));
    if (name.equals("java")) {
      return new ThreadTimes(nanos, 0, 0, 0);
    }
    if (name.startsWith("loop-") || name.startsWith("control-")) {
      return new ThreadTimes(0, nanos, 0, 0);
    }
    if (name.startsWith("C1 Compiler") || name.startsWith("C2 Compiler")) {
      return new ThreadTimes(0, 0, nanos, 0);
    }
    return new ThreadTimes(0, 0, 0, nanos);
  }

  ThreadTimes plus(ThreadTimes other) {
    return new ThreadTimes(
        mainNanos + other.mainNanos,
        loopNanos + other.loopNanos,
        compilerNanos + other.compilerNanos,
        otherNanos + other.otherNanos);
  }

  ThreadTimes minus(ThreadTimes earlier) {
    return new ThreadTimes(
        mainNanos - earlier.mainNanos,
        loopNanos - earlier.loopNanos,
        compilerNanos - earlier.compilerNanos,
        otherNanos - earlier.otherNanos);
  }

  double totalMillis() {
    return (mainNanos + loopNanos + compilerNanos + otherNanos) / NANOS_PER_MILLI;
  }

  /** Returns the times in milliseconds by the name of the kind, in a fixed order. */
  Map<String, Double> millisByKind() {
    Map<String, Double> millis = new LinkedHashMap<>();
    List<String> kinds = List.of("main", "loop", "compiler", "other");
    long[] nanos = {mainNanos, loopNanos, compilerNanos, otherNanos};
    for (int i = 0; i < nanos.length; i++) {
      millis.put(kinds.get(i), nanos[i] / NANOS_PER_MILLI);
    }
    return millis;
  }
}
