package org.geraniumwharf.internal.node;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.geraniumwharf.time.ProcessStart;

/**
 * Time since the start of this process. It is read from the proc file system where there is one,
 * since the management beans of the JDK take more processor time than most other parts of a start.
 */
public final class ProcessAge {

  private static final int MAX_FILE_BYTES = 4096;
  private static final long MILLIS_PER_TICK = 10;
  private static final double MILLIS_PER_SECOND = 1000;

  /** Position of the start of the process among the fields behind its name. */
  private static final int START_FIELD = 19;

  private ProcessAge() {}

  /** Returns the start of this process by the clock that {@code now} was taken from. */
  public static Instant startAsOf(Instant now) {
    return now.minusMillis(millis());
  }

  /** Returns the time since the start of this process, ms. */
  public static long millis() {
    try {
      long age = millisOf(read("/proc/uptime"), read("/proc/self/stat"));
      return age >= 0 ? age : ProcessStart.millisSince();
    } catch (IOException | RuntimeException e) {
      return ProcessStart.millisSince();
    }
  }

  /**
   * Returns the age of a process in ms.
   *
   * @param uptime seconds since the start of the machine, and more
   * @param stat status line of the process, with its start in ticks since then
   */
  static long millisOf(String uptime, String stat) {
    double up = Double.parseDouble(uptime.substring(0, uptime.indexOf(' ')));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    long started = Long.parseLong(fields[START_FIELD]) * MILLIS_PER_TICK;
    return Math.round(up * MILLIS_PER_SECOND) - started;
  }

  private static String read(String file) throws IOException {
    try (FileInputStream input = new FileInputStream(file)) {
      return new String(input.readNBytes(MAX_FILE_BYTES), StandardCharsets.US_ASCII);
    }
  }
}
