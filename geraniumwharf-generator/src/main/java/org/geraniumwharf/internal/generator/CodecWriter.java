package org.geraniumwharf.internal.generator;

import com.fasterxml.jackson.databind.JsonNode;
import com.palantir.javapoet.ArrayTypeName;
import com.palantir.javapoet.ClassName;
import com.palantir.javapoet.CodeBlock;
import com.palantir.javapoet.FieldSpec;
import com.palantir.javapoet.JavaFile;
import com.palantir.javapoet.MethodSpec;
import com.palantir.javapoet.ParameterizedTypeName;
import com.palantir.javapoet.TypeName;
import com.palantir.javapoet.TypeSpec;
import com.palantir.javapoet.WildcardTypeName;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import javax.lang.model.element.Modifier;

/**
 * Writes the classes that encode and decode messages and state as MessagePack: one for each schema
 * file, and one that finds the method of a type. They use no reflection, whose set-up would take
 * much of the processor time of a start.
 */
public final class CodecWriter {

  private static final String PACKAGE = "org.geraniumwharf.internal.schema.codec";
  private static final ClassName WRITER = ClassName.get(PACKAGE, "RecordWriter");
  private static final ClassName READER = ClassName.get(PACKAGE, "RecordReader");

  /**
   * Schema files whose definitions cross the network or are stored, with all that they refer to.
   */
  private static final List<String> ROOT_AREAS = List.of("messages", "state");

  private final Map<String, SchemaDefinition> byName = new HashMap<>();
  private final Map<String, List<SchemaDefinition>> unionsOfMember = new HashMap<>();
  private final List<SchemaDefinition> covered;

  private CodecWriter(Collection<SchemaDefinition> definitions) {
    for (SchemaDefinition definition : definitions) {
      byName.put(definition.name(), definition);
      for (JsonNode member : definition.schema().path("oneOf")) {
        unionsOfMember
            .computeIfAbsent(PropertyType.referredName(member), key -> new ArrayList<>())
            .add(definition);
      }
    }
    this.covered = reachable(definitions);
  }

  /** Returns the sources of all codec classes. */
  public static List<JavaFile> write(Collection<SchemaDefinition> definitions) {
    CodecWriter writer = new CodecWriter(definitions);
    Map<String, List<SchemaDefinition>> byArea = new LinkedHashMap<>();
    for (SchemaDefinition definition : writer.covered) {
      byArea.computeIfAbsent(definition.area(), area -> new ArrayList<>()).add(definition);
    }
    List<JavaFile> files = new ArrayList<>();
    byArea.forEach((area, members) -> files.add(file(writer.areaCodec(area, members))));
    files.add(file(writer.schemaCodec()));
    return files;
  }

  private static JavaFile file(TypeSpec type) {
    return JavaFile.builder(PACKAGE, type).skipJavaLangImports(true).indent("  ").build();
  }

  private List<SchemaDefinition> reachable(Collection<SchemaDefinition> definitions) {
    Deque<SchemaDefinition> queue = new ArrayDeque<>();
    definitions.stream()
        .filter(definition -> ROOT_AREAS.contains(definition.area()))
        .forEach(queue::add);
    Set<String> found = new LinkedHashSet<>();
    while (!queue.isEmpty()) {
      SchemaDefinition next = queue.remove();
      if (found.add(next.name())) {
        next.schema()
            .findValuesAsText("$ref")
            .forEach(text -> queue.add(byName.get(text.substring(text.lastIndexOf('/') + 1))));
      }
    }
    return definitions.stream().filter(definition -> found.contains(definition.name())).toList();
  }

  // ------------------------------------------------------------------ classes

  private TypeSpec areaCodec(String area, List<SchemaDefinition> members) {
    TypeSpec.Builder type =
        TypeSpec.classBuilder(codecName(area))
            .addModifiers(Modifier.FINAL)
            .addJavadoc("Encodes and decodes the types of $L.", area)
            .addMethod(MethodSpec.constructorBuilder().addModifiers(Modifier.PRIVATE).build());
    for (SchemaDefinition member : members) {
      if (member.isEnum()) {
        addEnum(type, member);
      } else if (member.isUnion()) {
        addUnion(type, member);
      } else {
        addRecord(type, member);
      }
    }
    return type.build();
  }

  /** The class that finds the methods of a type at the outside. */
  private TypeSpec schemaCodec() {
    MethodSpec.Builder write =
        MethodSpec.methodBuilder("write")
            .addModifiers(Modifier.STATIC)
            .addException(IOException.class)
            .addParameter(WRITER, "writer")
            .addParameter(Object.class, "value");
    MethodSpec.Builder read =
        MethodSpec.methodBuilder("read")
            .addModifiers(Modifier.STATIC)
            .addException(IOException.class)
            .addParameter(READER, "reader")
            .addParameter(
                ParameterizedTypeName.get(
                    ClassName.get(Class.class), WildcardTypeName.subtypeOf(Object.class)),
                "type")
            .returns(Object.class);
    for (SchemaDefinition definition : covered) {
      if (definition.isEnum()) {
        continue;
      }
      ClassName name = typeName(definition);
      ClassName codec = ClassName.get(PACKAGE, codecName(definition.area()));
      if (!definition.isUnion()) {
        write.beginControlFlow("if (value instanceof $T)", name);
        write.addStatement("$T.write$L(writer, ($T) value)", codec, definition.name(), name);
        write.addStatement("return");
        write.endControlFlow();
      }
      read.beginControlFlow("if (type == $T.class)", name);
      read.addStatement("return $T.read$L(reader)", codec, definition.name());
      read.endControlFlow();
    }
    write.addStatement("throw $T.unknownType(value.getClass())", WRITER);
    read.addStatement("throw $T.unknownType(type)", WRITER);
    return TypeSpec.classBuilder("SchemaCodec")
        .addModifiers(Modifier.FINAL)
        .addJavadoc("Finds the methods that encode and decode a type.")
        .addMethod(MethodSpec.constructorBuilder().addModifiers(Modifier.PRIVATE).build())
        .addMethod(write.build())
        .addMethod(read.build())
        .build();
  }

  // -------------------------------------------------------------------- enums

  private static void addEnum(TypeSpec.Builder type, SchemaDefinition definition) {
    CodeBlock.Builder names = CodeBlock.builder();
    List<String> texts = new ArrayList<>();
    definition.schema().path("enum").forEach(value -> texts.add(value.asText()));
    names.add("{");
    for (int i = 0; i < texts.size(); i++) {
      names.add(i == 0 ? "$S" : ", $S", texts.get(i));
    }
    names.add("}");
    type.addField(
        FieldSpec.builder(
                ArrayTypeName.of(String.class),
                enumNames(definition),
                Modifier.PRIVATE,
                Modifier.STATIC,
                Modifier.FINAL)
            .initializer(names.build())
            .build());
    type.addMethod(
        writeMethod(definition)
            .addStatement("writer.text($L[value.ordinal()])", enumNames(definition))
            .build());
    type.addMethod(
        readMethod(definition)
            .addStatement(
                "return $T.values()[reader.constant($L)]",
                typeName(definition),
                enumNames(definition))
            .build());
  }

  private static String enumNames(SchemaDefinition definition) {
    return TypeWriter.kebabCase(definition.name()).replace('-', '_').toUpperCase(Locale.ROOT);
  }

  // ------------------------------------------------------------------- unions

  private void addUnion(TypeSpec.Builder type, SchemaDefinition union) {
    MethodSpec.Builder write = writeMethod(union);
    MethodSpec.Builder read = readMethod(union);
    read.addStatement("int fields = reader.map() - 1");
    read.addStatement("String type = reader.type($S)", union.discriminator());
    read.beginControlFlow("return switch (type)");
    for (JsonNode member : union.schema().path("oneOf")) {
      SchemaDefinition target = byName.get(PropertyType.referredName(member));
      write.beginControlFlow("if (value instanceof $T)", typeName(target));
      write.addStatement("$L(writer, ($T) value)", method("write", target), typeName(target));
      write.addStatement("return");
      write.endControlFlow();
      read.addCode(
          "case $S -> $L(reader, fields);\n",
          TypeWriter.kebabCase(target.name()),
          method("read", target));
    }
    write.addStatement("throw $T.unknownType(value.getClass())", WRITER);
    read.addCode("default -> throw $T.unknownName($S, type);\n", READER, union.name());
    read.endControlFlow("");
    type.addMethod(write.build()).addMethod(read.build());
  }

  // ------------------------------------------------------------------ records

  private void addRecord(TypeSpec.Builder type, SchemaDefinition definition) {
    List<PropertyType> properties = PropertyType.allOf(definition, byName);
    type.addMethod(writeRecord(definition, properties));
    type.addMethod(
        readMethod(definition)
            .addStatement("return read$L(reader, reader.map())", definition.name())
            .build());
    type.addMethod(readFields(definition, properties));
  }

  private MethodSpec writeRecord(SchemaDefinition definition, List<PropertyType> properties) {
    MethodSpec.Builder write = writeMethod(definition);
    Optional<SchemaDefinition> union =
        unionsOfMember.getOrDefault(definition.name(), List.of()).stream().findFirst();
    int always = union.isPresent() ? 1 : 0;
    CodeBlock.Builder size = CodeBlock.builder();
    for (PropertyType property : properties) {
      if (isRaw(property.type(), Optional.class)) {
        size.add(" + (value.$L().isPresent() ? 1 : 0)", property.javaName());
      } else {
        always++;
      }
    }
    write.addStatement("writer.map($L$L)", always, size.build());
    union.ifPresent(
        found -> {
          write.addStatement("writer.name($S)", found.discriminator());
          write.addStatement("writer.text($S)", TypeWriter.kebabCase(definition.name()));
        });
    for (PropertyType property : properties) {
      String accessor = "value." + property.javaName() + "()";
      if (isRaw(property.type(), Optional.class)) {
        write.beginControlFlow("if ($L.isPresent())", accessor);
        write.addStatement("writer.name($S)", property.jsonName());
        write.addCode(writeValue(argument(property.type(), 0), accessor + ".get()", 0));
        write.endControlFlow();
      } else {
        write.addStatement("writer.name($S)", property.jsonName());
        write.addCode(writeValue(property.type(), accessor, 0));
      }
    }
    return write.build();
  }

  private CodeBlock writeValue(TypeName type, String value, int depth) {
    CodeBlock.Builder code = CodeBlock.builder();
    if (isRaw(type, List.class)) {
      TypeName item = argument(type, 0);
      code.addStatement("writer.list($L.size())", value);
      code.beginControlFlow("for ($T item$L : $L)", item, depth, value);
      code.add(writeValue(item, "item" + depth, depth + 1));
      code.endControlFlow();
    } else if (isRaw(type, Map.class)) {
      TypeName item = argument(type, 1);
      code.addStatement("writer.map($L.size())", value);
      code.beginControlFlow(
          "for ($T<$T, $T> entry$L : new $T<>($L).entrySet())",
          Map.Entry.class,
          String.class,
          item,
          depth,
          TreeMap.class,
          value);
      code.addStatement("writer.text(entry$L.getKey())", depth);
      code.add(writeValue(item, "entry" + depth + ".getValue()", depth + 1));
      code.endControlFlow();
    } else if (scalar(type).isPresent()) {
      code.addStatement("writer.$L($L)", scalar(type).get(), value);
    } else {
      code.addStatement("$L(writer, $L)", method("write", definitionOf(type)), value);
    }
    return code.build();
  }

  private MethodSpec readFields(SchemaDefinition definition, List<PropertyType> properties) {
    MethodSpec.Builder read = readMethod(definition).addParameter(TypeName.INT, "fields");
    List<String> arguments = new ArrayList<>();
    for (PropertyType property : properties) {
      String variable = variable(property);
      arguments.add(variable);
      read.addStatement("$T $L = $L", property.type(), variable, initial(property.type()));
    }
    read.beginControlFlow("for (int i = 0; i < fields; i++)");
    read.addStatement("String name = reader.name()");
    read.beginControlFlow("if (reader.skipNull())");
    read.addStatement("continue");
    read.endControlFlow();
    read.beginControlFlow("switch (name)");
    for (PropertyType property : properties) {
      read.beginControlFlow("case $S ->", property.jsonName());
      read.addCode(readProperty(property.type(), variable(property)));
      read.endControlFlow();
    }
    read.addCode("default -> reader.skip();\n");
    read.endControlFlow();
    read.endControlFlow();
    read.addStatement("return $T.of($L)", typeName(definition), String.join(", ", arguments));
    return read.build();
  }

  /** Avoids the names of the other variables of the method. */
  private static String variable(PropertyType property) {
    return property.javaName() + "Value";
  }

  private static CodeBlock initial(TypeName type) {
    if (type.equals(TypeName.BOOLEAN)) {
      return CodeBlock.of("false");
    }
    if (type.isPrimitive()) {
      return CodeBlock.of("0");
    }
    if (isRaw(type, Optional.class)) {
      return CodeBlock.of("$T.empty()", Optional.class);
    }
    return CodeBlock.of("null");
  }

  private CodeBlock readProperty(TypeName type, String variable) {
    if (isRaw(type, Optional.class)) {
      TypeName inner = argument(type, 0);
      return CodeBlock.builder()
          .add(readInto(inner, variable + "Inner", 0))
          .addStatement("$L = $T.of($LInner)", variable, Optional.class, variable)
          .build();
    }
    return CodeBlock.builder()
        .add(readInto(type, variable + "Inner", 0))
        .addStatement("$L = $LInner", variable, variable)
        .build();
  }

  /** Declares a variable and reads a value into it. */
  private CodeBlock readInto(TypeName type, String variable, int depth) {
    CodeBlock.Builder code = CodeBlock.builder();
    if (isRaw(type, List.class)) {
      TypeName item = argument(type, 0);
      code.addStatement("$T $L = new $T<>()", type, variable, ArrayList.class);
      code.beginControlFlow("for (int left$1L = reader.list(); left$1L > 0; left$1L--)", depth);
      code.add(readInto(item, "item" + depth, depth + 1));
      code.addStatement("$L.add(item$L)", variable, depth);
      code.endControlFlow();
    } else if (isRaw(type, Map.class)) {
      TypeName item = argument(type, 1);
      code.addStatement("$T $L = new $T<>()", type, variable, HashMap.class);
      code.beginControlFlow("for (int left$1L = reader.map(); left$1L > 0; left$1L--)", depth);
      code.addStatement("$T key$L = reader.text()", String.class, depth);
      code.add(readInto(item, "item" + depth, depth + 1));
      code.addStatement("$L.put(key$L, item$L)", variable, depth, depth);
      code.endControlFlow();
    } else if (scalar(type).isPresent()) {
      String method = unboxed(type).equals(TypeName.INT) ? "smallNumber" : scalar(type).get();
      code.addStatement("$T $L = reader.$L()", type, variable, method);
    } else {
      code.addStatement("$T $L = $L(reader)", type, variable, method("read", definitionOf(type)));
    }
    return code.build();
  }

  // ------------------------------------------------------------------ helpers

  private static Optional<String> scalar(TypeName type) {
    if (type.equals(ClassName.get(String.class))) {
      return Optional.of("text");
    }
    if (type.equals(ArrayTypeName.of(TypeName.BYTE))) {
      return Optional.of("bytes");
    }
    TypeName plain = unboxed(type);
    if (plain.equals(TypeName.INT) || plain.equals(TypeName.LONG)) {
      return Optional.of("number");
    }
    if (plain.equals(TypeName.DOUBLE)) {
      return Optional.of("real");
    }
    return plain.equals(TypeName.BOOLEAN) ? Optional.of("flag") : Optional.empty();
  }

  private static TypeName unboxed(TypeName type) {
    return type.isBoxedPrimitive() ? type.unbox() : type;
  }

  private SchemaDefinition definitionOf(TypeName type) {
    if (type instanceof ClassName name && byName.containsKey(name.simpleName())) {
      return byName.get(name.simpleName());
    }
    throw new IllegalStateException("no encoding is defined for " + type);
  }

  private static String method(String verb, SchemaDefinition definition) {
    return codecName(definition.area()) + "." + verb + definition.name();
  }

  private static String codecName(String area) {
    return area.substring(0, 1).toUpperCase(Locale.ROOT) + area.substring(1) + "Codec";
  }

  private static MethodSpec.Builder writeMethod(SchemaDefinition definition) {
    return MethodSpec.methodBuilder("write" + definition.name())
        .addModifiers(Modifier.STATIC)
        .addException(IOException.class)
        .addParameter(WRITER, "writer")
        .addParameter(typeName(definition), "value");
  }

  private static MethodSpec.Builder readMethod(SchemaDefinition definition) {
    return MethodSpec.methodBuilder("read" + definition.name())
        .addModifiers(Modifier.STATIC)
        .addException(IOException.class)
        .addParameter(READER, "reader")
        .returns(typeName(definition));
  }

  private static ClassName typeName(SchemaDefinition definition) {
    return ClassName.get(definition.packageName(), definition.name());
  }

  private static boolean isRaw(TypeName type, Class<?> raw) {
    return type instanceof ParameterizedTypeName parameterized
        && parameterized.rawType().equals(ClassName.get(raw));
  }

  private static TypeName argument(TypeName type, int index) {
    return ((ParameterizedTypeName) type).typeArguments().get(index);
  }
}
