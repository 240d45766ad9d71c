package org.geraniumwharf.generator;

import com.palantir.javapoet.JavaFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.geraniumwharf.internal.generator.CodecWriter;
import org.geraniumwharf.internal.generator.DefinitionReader;
import org.geraniumwharf.internal.generator.SchemaDefinition;
import org.geraniumwharf.internal.generator.TypeWriter;

/**
 * Writes one immutable Java type for each definition of the schemas, and the codec of messages and
 * state.
 *
 * <pre>{@code
 * Map<Path, String> sources = SchemaGenerator.render(schemaFolder);
 * }</pre>
 */
public final class SchemaGenerator {

  private SchemaGenerator() {}

  /**
   * Renders every type without touching the disk.
   *
   * @param schemaFolder folder of {@code *.json} schema files
   * @return relative source path to source text, in path order
   */
  public static Map<Path, String> render(Path schemaFolder) throws IOException {
    List<SchemaDefinition> definitions = DefinitionReader.read(schemaFolder);
    TypeWriter writer = TypeWriter.of(definitions);
    Map<Path, String> sources = new TreeMap<>();
    for (SchemaDefinition definition : definitions) {
      JavaFile file = writer.write(definition);
      Path path = Path.of(definition.packageName().replace('.', '/'), definition.name() + ".java");
      sources.put(path, file.toString());
    }
    for (JavaFile file : CodecWriter.write(definitions)) {
      Path folder = Path.of(file.packageName().replace('.', '/'));
      sources.put(folder.resolve(file.typeSpec().name() + ".java"), file.toString());
    }
    return sources;
  }

  /** Takes the schema folder and the output folder. */
  public static void main(String[] args) throws IOException {
    Path output = Path.of(args[1]);
    for (Map.Entry<Path, String> source : render(Path.of(args[0])).entrySet()) {
      Path file = output.resolve(source.getKey());
      Files.createDirectories(file.getParent());
      Files.writeString(file, source.getValue());
    }
  }
}
