package org.geraniumwharf.internal.http;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.javalin.http.Context;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.InvalidDocumentException;
import org.geraniumwharf.schema.SchemaChecker;
import org.geraniumwharf.schema.SchemaFault;

/** Reads request bodies up to a bound. */
public final class RequestBodies {

  private RequestBodies() {}

  /**
   * Reads a whole body.
   *
   * @throws ServingException if it is larger than the bound or the caller stops sending
   */
  public static byte[] read(Context context, int maxBytes) throws ServingException {
    if (context.req().getContentLengthLong() > maxBytes) {
      throw ServingErrors.bodyTooLarge(maxBytes);
    }
    try (InputStream input = context.req().getInputStream()) {
      byte[] body = input.readNBytes(maxBytes + 1);
      if (body.length > maxBytes) {
        throw ServingErrors.bodyTooLarge(maxBytes);
      }
      return body;
    } catch (IOException e) {
      throw ServingErrors.invalidField("", "the body could not be read: " + e.getMessage());
    }
  }

  /** Parses a JSON body. */
  public static JsonNode parse(byte[] body) throws ServingException {
    try {
      return Codec.json().parse(body);
    } catch (JsonProcessingException e) {
      throw ServingErrors.invalidJson(placeOf(e));
    } catch (IOException e) {
      throw ServingErrors.invalidJson("it is empty");
    }
  }

  /** The parser's own message quotes the body, which may be the text of a prompt. */
  private static String placeOf(JsonProcessingException error) {
    JsonLocation place = error.getLocation();
    return place == null
        ? "it is incomplete"
        : "it breaks off at line " + place.getLineNr() + ", column " + place.getColumnNr();
  }

  /** Reads a body as a generated type. */
  public static <T> T read(Context context, int maxBytes, Class<T> type) throws ServingException {
    try {
      return SchemaChecker.read(parse(read(context, maxBytes)), type);
    } catch (InvalidDocumentException e) {
      List<SchemaFault> faults = e.faults();
      throw ServingErrors.invalidField(faults.get(0).field(), e.getMessage());
    }
  }
}
