package org.geraniumwharf.internal.generator;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JsonNode;
import com.palantir.javapoet.AnnotationSpec;
import com.palantir.javapoet.ClassName;
import com.palantir.javapoet.CodeBlock;
import com.palantir.javapoet.JavaFile;
import com.palantir.javapoet.MethodSpec;
import com.palantir.javapoet.ParameterSpec;
import com.palantir.javapoet.TypeName;
import com.palantir.javapoet.TypeSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import javax.lang.model.element.Modifier;

/** Turns one definition into a record, an enum or a sealed interface. */
public final class TypeWriter {

  private final Map<String, SchemaDefinition> byName;
  private final Map<String, List<SchemaDefinition>> unionsOfMember;

  private TypeWriter(
      Map<String, SchemaDefinition> byName, Map<String, List<SchemaDefinition>> unionsOfMember) {
    this.byName = byName;
    this.unionsOfMember = unionsOfMember;
  }

  public static TypeWriter of(Collection<SchemaDefinition> definitions) {
    Map<String, SchemaDefinition> byName = new HashMap<>();
    Map<String, List<SchemaDefinition>> unionsOfMember = new HashMap<>();
    for (SchemaDefinition definition : definitions) {
      byName.put(definition.name(), definition);
      for (JsonNode member : definition.schema().path("oneOf")) {
        String name = PropertyType.referredName(member);
        unionsOfMember.computeIfAbsent(name, key -> new ArrayList<>()).add(definition);
      }
    }
    return new TypeWriter(byName, unionsOfMember);
  }

  public JavaFile write(SchemaDefinition definition) {
    TypeSpec type = typeOf(definition);
    return JavaFile.builder(definition.packageName(), type)
        .skipJavaLangImports(true)
        .indent("  ")
        .build();
  }

  private TypeSpec typeOf(SchemaDefinition definition) {
    if (definition.isUnion()) {
      return union(definition);
    }
    if (definition.isEnum()) {
      return enumeration(definition);
    }
    return record(definition);
  }

  private TypeSpec union(SchemaDefinition definition) {
    AnnotationSpec typeInfo =
        AnnotationSpec.builder(JsonTypeInfo.class)
            .addMember("use", "$T.NAME", JsonTypeInfo.Id.class)
            .addMember("property", "$S", definition.discriminator())
            .build();
    AnnotationSpec.Builder members = AnnotationSpec.builder(JsonSubTypes.class);
    TypeSpec.Builder type =
        TypeSpec.interfaceBuilder(definition.name())
            .addModifiers(Modifier.PUBLIC, Modifier.SEALED)
            .addJavadoc("$L", description(definition.schema()))
            .addAnnotation(typeInfo);
    for (JsonNode member : definition.schema().path("oneOf")) {
      SchemaDefinition target = byName.get(PropertyType.referredName(member));
      type.addPermittedSubclass(className(target));
      AnnotationSpec subType =
          AnnotationSpec.builder(JsonSubTypes.Type.class)
              .addMember("value", "$T.class", className(target))
              .addMember("name", "$S", kebabCase(target.name()))
              .build();
      members.addMember("value", "$L", subType);
    }
    for (PropertyType property : commonProperties(definition)) {
      type.addMethod(accessor(property));
    }
    return type.addAnnotation(members.build()).build();
  }

  /** Properties that every member declares with the same name and type. */
  private List<PropertyType> commonProperties(SchemaDefinition union) {
    List<PropertyType> common = null;
    for (JsonNode member : union.schema().path("oneOf")) {
      SchemaDefinition target = byName.get(PropertyType.referredName(member));
      List<PropertyType> properties = PropertyType.allOf(target, byName);
      if (common == null) {
        common = new ArrayList<>(properties);
      }
      common.removeIf(property -> properties.stream().noneMatch(property::hasSameSignature));
    }
    return common == null ? List.of() : common;
  }

  private static MethodSpec accessor(PropertyType property) {
    return MethodSpec.methodBuilder(property.javaName())
        .addModifiers(Modifier.PUBLIC, Modifier.ABSTRACT)
        .addJavadoc("Returns the $L.", property.text())
        .returns(property.type())
        .build();
  }

  private static TypeSpec enumeration(SchemaDefinition definition) {
    TypeSpec.Builder type =
        TypeSpec.enumBuilder(definition.name())
            .addModifiers(Modifier.PUBLIC)
            .addJavadoc("$L", description(definition.schema()));
    for (JsonNode value : definition.schema().path("enum")) {
      AnnotationSpec name =
          AnnotationSpec.builder(JsonProperty.class)
              .addMember("value", "$S", value.asText())
              .build();
      String constant = value.asText().replace('-', '_').toUpperCase(Locale.ROOT);
      type.addEnumConstant(
          constant, TypeSpec.anonymousClassBuilder("").addAnnotation(name).build());
    }
    return type.build();
  }

  private TypeSpec record(SchemaDefinition definition) {
    List<PropertyType> properties = PropertyType.allOf(definition, byName);
    MethodSpec.Builder parameters = MethodSpec.constructorBuilder();
    CodeBlock.Builder checks = CodeBlock.builder();
    StringBuilder javadoc = new StringBuilder(description(definition.schema())).append("\n");
    for (PropertyType property : properties) {
      parameters.addParameter(property.parameter());
      checks.add(property.compactCheck());
      javadoc.append("\n@param ").append(property.javaName()).append(' ').append(property.text());
    }
    TypeSpec.Builder type =
        TypeSpec.recordBuilder(definition.name())
            .addModifiers(Modifier.PUBLIC)
            .addJavadoc("$L", javadoc.toString().stripTrailing())
            .recordConstructor(parameters.build())
            .addMethod(
                MethodSpec.compactConstructorBuilder()
                    .addModifiers(Modifier.PUBLIC)
                    .addCode(checks.build())
                    .build())
            .addMethod(factory(definition, properties));
    for (SchemaDefinition union : unionsOfMember.getOrDefault(definition.name(), List.of())) {
      type.addSuperinterface(className(union));
    }
    for (PropertyType property : properties) {
      type.addMethod(copyWith(definition, properties, property));
    }
    if (!properties.isEmpty() && properties.stream().allMatch(TypeWriter::isPlain)) {
      type.addMethod(equalsMethod(definition, properties)).addMethod(hashMethod(properties));
    }
    return type.build();
  }

  /**
   * Returns whether the generated equality of records with such properties is spelled out. That of
   * the JDK is built from method handles at run time, which takes milliseconds for each record.
   */
  private static boolean isPlain(PropertyType property) {
    return property.type().equals(ClassName.get(String.class))
        || property.type().equals(TypeName.INT)
        || property.type().equals(TypeName.LONG)
        || property.type().equals(TypeName.BOOLEAN);
  }

  private static MethodSpec equalsMethod(
      SchemaDefinition definition, List<PropertyType> properties) {
    List<String> parts = new ArrayList<>();
    for (PropertyType property : properties) {
      String name = property.javaName();
      parts.add(
          property.type().isPrimitive()
              ? "this." + name + " == that." + name
              : "this." + name + ".equals(that." + name + ")");
    }
    return MethodSpec.methodBuilder("equals")
        .addAnnotation(Override.class)
        .addModifiers(Modifier.PUBLIC)
        .returns(TypeName.BOOLEAN)
        .addParameter(Object.class, "other")
        .addStatement(
            "return other instanceof $T that && $L",
            className(definition),
            String.join(" && ", parts))
        .build();
  }

  private static MethodSpec hashMethod(List<PropertyType> properties) {
    CodeBlock.Builder code = CodeBlock.builder().addStatement("int result = 0");
    for (PropertyType property : properties) {
      if (property.type().isPrimitive()) {
        code.addStatement(
            "result = 31 * result + $T.hashCode(this.$L)",
            property.type().box(),
            property.javaName());
      } else {
        code.addStatement("result = 31 * result + this.$L.hashCode()", property.javaName());
      }
    }
    return MethodSpec.methodBuilder("hashCode")
        .addAnnotation(Override.class)
        .addModifiers(Modifier.PUBLIC)
        .returns(TypeName.INT)
        .addCode(code.addStatement("return result").build())
        .build();
  }

  private static MethodSpec factory(SchemaDefinition definition, List<PropertyType> properties) {
    MethodSpec.Builder method =
        MethodSpec.methodBuilder("of")
            .addModifiers(Modifier.PUBLIC, Modifier.STATIC)
            .returns(className(definition));
    for (PropertyType property : properties) {
      method.addParameter(ParameterSpec.builder(property.type(), property.javaName()).build());
    }
    List<String> names = properties.stream().map(PropertyType::javaName).toList();
    return method
        .addStatement("return new $T($L)", className(definition), String.join(", ", names))
        .build();
  }

  private static MethodSpec copyWith(
      SchemaDefinition definition, List<PropertyType> properties, PropertyType changed) {
    String suffix =
        changed.javaName().substring(0, 1).toUpperCase(Locale.ROOT)
            + changed.javaName().substring(1);
    List<String> names = properties.stream().map(PropertyType::javaName).toList();
    return MethodSpec.methodBuilder("with" + suffix)
        .addModifiers(Modifier.PUBLIC)
        .returns(className(definition))
        .addParameter(changed.type(), changed.javaName())
        .addStatement("return new $T($L)", className(definition), String.join(", ", names))
        .build();
  }

  private static ClassName className(SchemaDefinition definition) {
    return ClassName.get(definition.packageName(), definition.name());
  }

  private static String description(JsonNode schema) {
    return schema.path("description").asText();
  }

  static String kebabCase(String name) {
    return name.replaceAll("([a-z0-9])([A-Z])", "$1-$2").toLowerCase(Locale.ROOT);
  }
}
