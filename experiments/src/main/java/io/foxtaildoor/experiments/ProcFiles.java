package io.foxtaildoor.experiments;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads the memory and the processor time of a process from {@code /proc}. */
final class ProcFiles {
  /** Linux reports processor time in ticks of 10 ms on every architecture that Java runs on. */
  private static final int MILLIS_PER_TICK = 10;

  /** Indexes of user and system time after the command name, which may contain spaces. */
  private static final int USER_TIME = 11;

  private static final int SYSTEM_TIME = 12;

  private ProcFiles() {}

  static long residentKilobytes(long pid) {
    try {
      return residentKilobytes(Files.readAllLines(Path.of("/proc/" + pid + "/status")));
    } catch (IOException e) {
      return 0;
    }
  }

  /** Finds the resident memory in the lines of a status file; 0 when they lack it. */
  static long residentKilobytes(List<String> status) {
    return status.stream()
        .filter(line -> line.startsWith("VmRSS:"))
        .map(line -> line.replaceAll("[^0-9]", ""))
        .mapToLong(Long::parseLong)
        .findFirst()
        .orElse(0);
  }

  static long processorMillis(long pid) throws IOException {
    return processorMillis(Files.readString(Path.of("/proc/" + pid + "/stat")));
  }

  /** Sum of user and system time in a stat line. */
  static long processorMillis(String stat) {
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
    return MILLIS_PER_TICK
        * (Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME]));
  }
}
