package org.geraniumwharf.internal.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;
import org.geraniumwharf.internal.state.ControlState;
import org.geraniumwharf.internal.storage.DataFolder;
import org.geraniumwharf.internal.storage.FileReplicaStorage;
import org.geraniumwharf.internal.storage.StorageException;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.state.ClaimRunCommand;
import org.geraniumwharf.schema.state.Command;
import org.geraniumwharf.schema.state.EntryKind;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.RunAttempt;
import org.geraniumwharf.schema.state.RunKey;

/** Times opening and applying a log against its length. */
public final class ReplayMeasurements {

  private static final int[] LENGTHS = {100, 1000, 4096, 16_384};

  private ReplayMeasurements() {}

  /** Returns one Markdown row for each length. */
  public static String run() throws IOException {
    StringBuilder rows = new StringBuilder();
    for (int length : LENGTHS) {
      Path folder = Files.createTempDirectory("replay");
      try {
        write(folder, length);
        long start = System.nanoTime();
        long applied = replay(folder);
        rows.append(
            String.format(
                Locale.ROOT, "| %d | %.1f |%n", applied, (System.nanoTime() - start) / 1e6));
      } catch (StorageException e) {
        throw new IOException(e);
      } finally {
        delete(folder);
      }
    }
    return rows.toString();
  }

  private static void write(Path folder, int length) throws StorageException {
    List<LogEntry> entries = new ArrayList<>();
    for (int i = 1; i <= length; i++) {
      Command command =
          ClaimRunCommand.of(
              RunKey.of("organisation", "bookings", "key-" + i),
              RunAttempt.of("attempt-" + i, "daemon-1", 1),
              "0".repeat(64),
              i);
      entries.add(LogEntry.of(i, 1, EntryKind.COMMAND, Codec.messagePack().encode(command)));
    }
    try (DataFolder data = DataFolder.open(folder);
        FileReplicaStorage storage = FileReplicaStorage.open(data).storage()) {
      storage.append(Optional.of(HardState.of(1, Optional.empty(), 0, false)), entries);
    }
  }

  private static long replay(Path folder) throws StorageException, IOException {
    ControlState state = ControlState.empty();
    try (DataFolder data = DataFolder.open(folder)) {
      FileReplicaStorage.OpenResult opened = FileReplicaStorage.open(data);
      for (LogEntry entry : opened.recovered().entries()) {
        state.apply(entry.index(), Codec.messagePack().decode(entry.payload(), Command.class));
      }
      opened.storage().close();
    }
    return state.index();
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
