package org.geraniumwharf.schema;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.internal.schema.SchemaLibrary;

/**
 * One property of a generated type, for readers of other formats than JSON and for documentation.
 *
 * @param name name in documents
 * @param type JSON type: string, integer, number, boolean, array or object
 * @param isRequired whether a document must have it
 * @param defaultValue value that stands in for an absent property
 * @param description what it means, with its unit
 */
public record PropertyDescription(
    String name,
    String type,
    boolean isRequired,
    Optional<String> defaultValue,
    String description) {

  /** Lists the properties of a type, in schema order. */
  public static List<PropertyDescription> of(Class<?> type) {
    JsonNode definition = SchemaLibrary.definition("/" + type.getSimpleName());
    List<String> required = new ArrayList<>();
    definition.path("required").forEach(name -> required.add(name.asText()));
    List<PropertyDescription> properties = new ArrayList<>();
    for (Map.Entry<String, JsonNode> entry : definition.path("properties").properties()) {
      JsonNode schema = entry.getValue();
      properties.add(
          new PropertyDescription(
              entry.getKey(),
              schema.path("type").asText("object"),
              required.contains(entry.getKey()),
              schema.has("default")
                  ? Optional.of(schema.get("default").asText())
                  : Optional.empty(),
              schema.path("description").asText()));
    }
    return List.copyOf(properties);
  }
}
