package org.geraniumwharf.internal.schema;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaLocation;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.geraniumwharf.schema.Codec;

/** The schema files on the class path, parsed once. */
public final class SchemaLibrary {

  private static final String SCHEMA_HOST = "https://geraniumwharf.org/schema/";
  private static final String SCHEMA_FOLDER = "classpath:org/geraniumwharf/schema/";
  private static final String[] AREAS = {
    "callers", "messages", "objects", "operators", "settings", "state", "targets", "view"
  };
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final SchemaRegistry REGISTRY =
      SchemaRegistry.withDefaultDialect(
          SpecificationVersion.DRAFT_2020_12,
          builder ->
              builder.schemaIdResolvers(
                  resolvers -> resolvers.mapPrefix(SCHEMA_HOST, SCHEMA_FOLDER)));

  private static final Map<String, JsonNode> DEFINITIONS = loadDefinitions();
  private static final Map<String, Schema> SCHEMAS = new ConcurrentHashMap<>();

  private SchemaLibrary() {}

  /** Returns the definition behind a reference such as {@code targets.json#/$defs/Announcement}. */
  public static JsonNode definition(String reference) {
    return DEFINITIONS.get(reference.substring(reference.lastIndexOf('/') + 1));
  }

  /** Returns the compiled schema of a generated type. */
  public static Schema schemaOf(Class<?> type) {
    return SCHEMAS.computeIfAbsent(type.getName(), name -> compile(type));
  }

  private static Schema compile(Class<?> type) {
    String location = SCHEMA_HOST + areaOf(type) + ".json#/$defs/" + type.getSimpleName();
    return REGISTRY.getSchema(SchemaLocation.of(location));
  }

  private static String areaOf(Class<?> type) {
    String packageName = type.getPackageName();
    return packageName.substring(packageName.lastIndexOf('.') + 1);
  }

  private static Map<String, JsonNode> loadDefinitions() {
    Map<String, JsonNode> definitions = new ConcurrentHashMap<>();
    for (String area : AREAS) {
      for (Map.Entry<String, JsonNode> entry : load(area).path("$defs").properties()) {
        definitions.put(entry.getKey(), entry.getValue());
      }
    }
    return Map.copyOf(definitions);
  }

  private static JsonNode load(String area) {
    String resource = "/org/geraniumwharf/schema/" + area + ".json";
    try (InputStream stream = Codec.class.getResourceAsStream(resource)) {
      return MAPPER.readTree(stream);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
