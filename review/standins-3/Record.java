import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line for each thing that was sent, answered, run or done. */
final class Record implements AutoCloseable {

  private final PrintWriter out;
  private final long startedAt = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  /** Returns the seconds since the start of the run. */
  double seconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  synchronized void line(String format, Object... values) {
    out.printf("%8.3f  %s%n", seconds(), String.format(format, values));
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
