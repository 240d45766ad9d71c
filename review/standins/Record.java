package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: a line for each thing that was sent, answered, run, started or ended. */
final class Record {

  private final PrintWriter file;
  private final long startedAt = System.nanoTime();

  private Record(PrintWriter file) {
    this.file = file;
  }

  /** Opens the record in the folder of a case and replaces that of the run before. */
  static Record open(Path folder) {
    try {
      return new Record(new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt"))));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the seconds since the run began. */
  double seconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  synchronized void add(String format, Object... values) {
    String text = values.length == 0 ? format : String.format(Locale.ROOT, format, values);
    file.printf(Locale.ROOT, "%8.3f %s%n", seconds(), text);
    file.flush();
  }
}
