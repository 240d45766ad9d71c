package org.geraniumwharf.internal.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.geraniumwharf.error.ErrorKind;
import org.geraniumwharf.error.ServingException;

/**
 * The body of every error answer, whichever server writes it: an {@code ErrorAnswer} of the schema.
 * It is written without the JSON codec, whose set-up would make the first refusals of a process
 * late.
 */
public final class ErrorBodies {

  private static final JsonFactory JSON = new JsonFactory();

  private ErrorBodies() {}

  /** Encodes an error in the shape that OpenAI clients expect. */
  public static byte[] encode(String requestId, ServingException error) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(output)) {
      write(json, requestId, error);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return output.toByteArray();
  }

  private static void write(JsonGenerator json, String requestId, ServingException error)
      throws IOException {
    ErrorKind kind = error.kind();
    json.writeStartObject();
    json.writeObjectFieldStart("error");
    json.writeStringField("message", error.getMessage() + ". " + kind.advice());
    json.writeStringField("type", kind.type().wireName());
    json.writeStringField("code", kind.wireName());
    Optional<String> field = error.field().filter(name -> !name.isEmpty());
    if (field.isPresent()) {
      json.writeStringField("param", field.get());
    }
    json.writeStringField("run", error.execution().wireName());
    json.writeStringField("requestId", requestId);
    json.writeEndObject();
    json.writeEndObject();
  }
}
