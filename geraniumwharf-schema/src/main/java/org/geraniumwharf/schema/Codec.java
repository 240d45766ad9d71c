package org.geraniumwharf.schema;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Reads and writes the generated records as JSON. Immutable and safe for use by several threads.
 *
 * <pre>{@code
 * byte[] bytes = Codec.json().encode(answer);
 * ModelList copy = Codec.json().decode(bytes, ModelList.class);
 * }</pre>
 */
public final class Codec {

  private static final int MAX_NESTING = 64;

  private final ObjectMapper mapper;

  private Codec(ObjectMapper mapper) {
    this.mapper = mapper;
  }

  public static Codec json() {
    return JsonHolder.CODEC;
  }

  /** Returns the codec of messages and state. */
  public static MessagePackCodec messagePack() {
    return MessagePackCodec.INSTANCE;
  }

  /** Created on first use, since an entry instance may never use JSON. */
  private static final class JsonHolder {

    private static final Codec CODEC = new Codec(jsonMapper());
  }

  private static ObjectMapper jsonMapper() {
    JsonMapper mapper = JsonMapper.builder().build();
    mapper
        .getFactory()
        .setStreamReadConstraints(
            StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build());
    return configured(mapper).enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
  }

  private static ObjectMapper configured(ObjectMapper mapper) {
    return mapper
        .registerModule(new Jdk8Module())
        .setSerializationInclusion(JsonInclude.Include.NON_ABSENT)
        .configure(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS, true)
        .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
  }

  /** Encodes a record of this project; such a record always has an encoding. */
  public byte[] encode(Object value) {
    try {
      return mapper.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Encodes a record as text. */
  public String encodeText(Object value) {
    try {
      return mapper.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Encodes a record as indented text for people. */
  public String encodeIndented(Object value) {
    try {
      return mapper.writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Decodes one value.
   *
   * @throws IOException if the bytes are not a value of this type
   */
  public <T> T decode(byte[] bytes, Class<T> type) throws IOException {
    T value = mapper.readValue(bytes, type);
    if (value == null) {
      throw new IOException("expected " + type.getSimpleName() + " but found null");
    }
    return value;
  }

  /**
   * Parses a document of unknown shape.
   *
   * @throws IOException if the bytes are not one well-formed value
   */
  public JsonNode parse(byte[] bytes) throws IOException {
    JsonNode node = mapper.readTree(bytes);
    if (node == null || node.isMissingNode()) {
      throw new IOException("expected a value but found the end of the input");
    }
    return node;
  }

  /**
   * Converts a parsed document.
   *
   * @throws IOException if the document is not a value of this type
   */
  public <T> T convert(JsonNode node, Class<T> type) throws IOException {
    return mapper.treeToValue(node, type);
  }

  /** Converts a record to a document. */
  public JsonNode toTree(Object value) {
    return mapper.valueToTree(value);
  }
}
