package io.foxtaildoor.experiments;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads the memory and the processor time of a process from {@code /proc}. */
final class ProcFiles {
  /** Linux reports processor time in clock ticks of 10 ms on all architectures with Java. */
  private static final int MILLIS_PER_TICK = 10;

  /**
   * Index of the user time among the fields after the command name. Fields are counted from there
   * because the command name may contain spaces.
   */
  private static final int USER_TIME_INDEX = 11;

  private static final int SYSTEM_TIME_INDEX = 12;

  private ProcFiles() {}

  static long residentKilobytes(long pid) {
    try {
      return residentKilobytes(Files.readAllLines(Path.of("/proc/" + pid + "/status")));
    } catch (IOException e) {
      return 0;
    }
  }

  /** Returns the resident memory given in the lines of a status file; 0 when it is missing. */
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

  /** Returns the sum of user and system time, in milliseconds, from the line of a stat file. */
  static long processorMillis(String stat) {
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
    return MILLIS_PER_TICK
        * (Long.parseLong(fields[USER_TIME_INDEX]) + Long.parseLong(fields[SYSTEM_TIME_INDEX]));
  }
}
