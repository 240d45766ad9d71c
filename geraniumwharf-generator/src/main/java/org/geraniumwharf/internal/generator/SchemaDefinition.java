package org.geraniumwharf.internal.generator;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One entry of a schema file's {@code $defs}.
 *
 * @param area file name without its ending, also the last package segment
 * @param name definition and Java type name
 */
public record SchemaDefinition(String area, String name, JsonNode schema) {

  private static final String BASE_PACKAGE = "org.geraniumwharf.schema.";

  public String packageName() {
    return BASE_PACKAGE + area;
  }

  public boolean isUnion() {
    return schema.has("oneOf");
  }

  public boolean isEnum() {
    return schema.has("enum");
  }

  /** Name of the JSON property that tells the members of a union apart. */
  public String discriminator() {
    return schema.path("discriminator").asText("type");
  }
}
