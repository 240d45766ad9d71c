import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.Locale;

/** Writes what happened, with the time since the start, to a file and to the standard output. */
final class Record {

  private final Path file;
  private final long startNanos = System.nanoTime();

  private Record(Path file) {
    this.file = file;
  }

  /** Creates an empty record in place of an earlier one. */
  static Record create(Path file) throws IOException {
    Files.writeString(file, "");
    return new Record(file);
  }

  Duration elapsed() {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }

  synchronized void add(String format, Object... values) {
    String text = values.length == 0 ? format : String.format(Locale.ROOT, format, values);
    String line = String.format(Locale.ROOT, "%8.3f  %s%n", elapsed().toNanos() / 1e9, text);
    try {
      Files.writeString(file, line, StandardCharsets.UTF_8, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    System.out.print(line);
  }
}
