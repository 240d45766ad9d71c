package org.geraniumwharf.internal.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.geraniumwharf.configuration.ConfigurationFault;
import org.geraniumwharf.configuration.ObjectSetReader;

/** Reads every {@code *.json} file below a folder as one set. */
final class ObjectFolder {

  private ObjectFolder() {}

  static ObjectSetReader read(String folder) throws CliException {
    Path root = Path.of(folder);
    if (!Files.isDirectory(root)) {
      throw CliException.of(ExitStatus.USAGE, folder + " is not a folder");
    }
    ObjectSetReader reader = ObjectSetReader.create();
    try {
      for (Path file : jsonFiles(root)) {
        reader.add(root.relativize(file).toString(), Files.readAllBytes(file));
      }
      return reader;
    } catch (IOException e) {
      throw CliException.of(ExitStatus.USAGE, "cannot read " + folder + ": " + e);
    }
  }

  /** Reads a folder and prints its faults, if there are any. */
  static ObjectSetReader readSound(String folder, Output output) throws CliException {
    ObjectSetReader reader = read(folder);
    List<ConfigurationFault> faults = reader.faults();
    if (!faults.isEmpty()) {
      printFaults(faults, output);
      throw CliException.of(
          ExitStatus.INVALID_CONFIGURATION, faults.size() + " faults in " + folder);
    }
    return reader;
  }

  static void printFaults(List<ConfigurationFault> faults, Output output) {
    if (output.isJson()) {
      output.json(faults);
    } else {
      output.table(
          List.of("FILE", "OBJECT", "FIELD", "FAULT"),
          faults.stream()
              .map(fault -> List.of(fault.source(), fault.object(), fault.field(), fault.message()))
              .toList());
    }
  }

  private static List<Path> jsonFiles(Path root) throws IOException {
    try (Stream<Path> files = Files.walk(root)) {
      return files.filter(file -> file.toString().endsWith(".json")).sorted().toList();
    }
  }
}
