package org.geraniumwharf.internal.schema;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/** Completes a document with the default values of its schema. */
public final class DefaultValues {

  private DefaultValues() {}

  /** Adds the default of each absent property, in place and at every depth. */
  public static void fill(JsonNode document, JsonNode schema) {
    if (schema.has("$ref")) {
      fill(document, SchemaLibrary.definition(schema.path("$ref").asText()));
      return;
    }
    if (document.isArray()) {
      document.forEach(element -> fill(element, schema.path("items")));
      return;
    }
    if (document instanceof ObjectNode object) {
      fillObject(object, schema);
    }
  }

  private static void fillObject(ObjectNode object, JsonNode schema) {
    if (schema.has("oneOf")) {
      fillMember(object, schema);
      return;
    }
    for (Map.Entry<String, JsonNode> property : schema.path("properties").properties()) {
      JsonNode value = object.get(property.getKey());
      if (value != null) {
        fill(value, property.getValue());
      } else if (property.getValue().has("default")) {
        object.set(property.getKey(), property.getValue().get("default").deepCopy());
      }
    }
  }

  private static void fillMember(ObjectNode object, JsonNode union) {
    String discriminator = union.path("discriminator").asText();
    for (JsonNode member : union.path("oneOf")) {
      JsonNode definition = SchemaLibrary.definition(member.path("$ref").asText());
      JsonNode constant = definition.path("properties").path(discriminator).path("const");
      if (constant.equals(object.get(discriminator))) {
        fillObject(object, definition);
      }
    }
  }
}
