package org.geraniumwharf.internal.generator;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import com.palantir.javapoet.AnnotationSpec;
import com.palantir.javapoet.ArrayTypeName;
import com.palantir.javapoet.ClassName;
import com.palantir.javapoet.CodeBlock;
import com.palantir.javapoet.ParameterSpec;
import com.palantir.javapoet.ParameterizedTypeName;
import com.palantir.javapoet.TypeName;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;

/** One property of a record: its names in both languages, its Java type and its null check. */
final class PropertyType {

  private static final Pattern HYPHEN_AND_LETTER = Pattern.compile("-([a-z0-9])");

  private final String jsonName;
  private final String text;
  private final TypeName type;

  private PropertyType(String jsonName, String text, TypeName type) {
    this.jsonName = jsonName;
    this.text = text;
    this.type = type;
  }

  static List<PropertyType> allOf(
      SchemaDefinition definition, Map<String, SchemaDefinition> byName) {
    List<String> required = new ArrayList<>();
    definition.schema().path("required").forEach(name -> required.add(name.asText()));
    List<PropertyType> properties = new ArrayList<>();
    for (Map.Entry<String, JsonNode> entry : definition.schema().path("properties").properties()) {
      JsonNode schema = entry.getValue();
      if (schema.has("const")) {
        continue;
      }
      boolean present = required.contains(entry.getKey()) || schema.has("default");
      TypeName plain = plainType(schema, byName);
      TypeName type = present || isCollection(schema) ? plain : optional(plain);
      properties.add(new PropertyType(entry.getKey(), schema.path("description").asText(), type));
    }
    return List.copyOf(properties);
  }

  static String referredName(JsonNode schema) {
    String reference = schema.path("$ref").asText();
    return reference.substring(reference.lastIndexOf('/') + 1);
  }

  String javaName() {
    return HYPHEN_AND_LETTER
        .matcher(jsonName)
        .replaceAll(match -> match.group(1).toUpperCase(Locale.ROOT));
  }

  String jsonName() {
    return jsonName;
  }

  String text() {
    return text;
  }

  TypeName type() {
    return type;
  }

  boolean hasSameSignature(PropertyType other) {
    return jsonName.equals(other.jsonName) && type.equals(other.type);
  }

  ParameterSpec parameter() {
    ParameterSpec.Builder parameter = ParameterSpec.builder(type, javaName());
    if (!javaName().equals(jsonName)) {
      parameter.addAnnotation(
          AnnotationSpec.builder(JsonProperty.class).addMember("value", "$S", jsonName).build());
    }
    return parameter.build();
  }

  /** Statements of the compact constructor that make the component non-null and unmodifiable. */
  CodeBlock compactCheck() {
    String name = javaName();
    if (type.isPrimitive()) {
      return CodeBlock.of("");
    }
    if (isRaw(List.class)) {
      return CodeBlock.of("$1L = $1L == null ? $2T.of() : $2T.copyOf($1L);\n", name, List.class);
    }
    if (isRaw(Map.class)) {
      return CodeBlock.of("$1L = $1L == null ? $2T.of() : $2T.copyOf($1L);\n", name, Map.class);
    }
    if (isRaw(Optional.class)) {
      return CodeBlock.of("$1L = $1L == null ? $2T.empty() : $1L;\n", name, Optional.class);
    }
    return CodeBlock.of("$T.requireNonNull($L, $S);\n", Objects.class, name, name);
  }

  private boolean isRaw(Class<?> raw) {
    return type instanceof ParameterizedTypeName parameterized
        && parameterized.rawType().equals(ClassName.get(raw));
  }

  private static boolean isCollection(JsonNode schema) {
    String type = schema.path("type").asText();
    return type.equals("array") || schema.path("additionalProperties").isObject();
  }

  private static TypeName optional(TypeName type) {
    return ParameterizedTypeName.get(ClassName.get(Optional.class), type.box());
  }

  private static TypeName plainType(JsonNode schema, Map<String, SchemaDefinition> byName) {
    if (schema.has("$ref")) {
      SchemaDefinition target = byName.get(referredName(schema));
      return ClassName.get(target.packageName(), target.name());
    }
    return switch (schema.path("type").asText()) {
      case "string" -> stringType(schema);
      case "integer" ->
          schema.path("format").asText().equals("int32") ? TypeName.INT : TypeName.LONG;
      case "number" -> TypeName.DOUBLE;
      case "boolean" -> TypeName.BOOLEAN;
      case "array" ->
          ParameterizedTypeName.get(
              ClassName.get(List.class), plainType(schema.path("items"), byName).box());
      case "object" ->
          ParameterizedTypeName.get(
              ClassName.get(Map.class),
              ClassName.get(String.class),
              plainType(schema.path("additionalProperties"), byName).box());
      default -> ClassName.get(JsonNode.class);
    };
  }

  private static TypeName stringType(JsonNode schema) {
    return schema.path("format").asText().equals("binary")
        ? ArrayTypeName.of(TypeName.BYTE)
        : ClassName.get(String.class);
  }
}
