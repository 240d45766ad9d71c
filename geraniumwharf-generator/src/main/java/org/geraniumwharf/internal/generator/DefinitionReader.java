package org.geraniumwharf.internal.generator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Reads the definitions of every schema file, in file and definition order. */
public final class DefinitionReader {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private DefinitionReader() {}

  public static List<SchemaDefinition> read(Path folder) throws IOException {
    List<SchemaDefinition> definitions = new ArrayList<>();
    for (Path file : schemaFiles(folder)) {
      String area = file.getFileName().toString().replace(".json", "");
      JsonNode definitionsNode = MAPPER.readTree(file.toFile()).path("$defs");
      for (Map.Entry<String, JsonNode> entry : definitionsNode.properties()) {
        definitions.add(new SchemaDefinition(area, entry.getKey(), entry.getValue()));
      }
    }
    return List.copyOf(definitions);
  }

  private static List<Path> schemaFiles(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(file -> file.toString().endsWith(".json")).sorted().toList();
    }
  }
}
