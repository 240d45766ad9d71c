package org.geraniumwharf.internal.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.http.RequestBodies;
import org.geraniumwharf.internal.serving.CompletionKind;
import org.geraniumwharf.internal.serving.CompletionRequest;

/**
 * Checks the fields of a generation request that the system itself depends on; all others pass
 * through to the engine as they are.
 */
final class CompletionParser {

  private static final char FIELD_END = '\u001f';
  private static final char MESSAGE_END = '\u001e';

  private CompletionParser() {}

  static CompletionRequest parse(CompletionKind kind, byte[] bytes) throws ServingException {
    if (!(RequestBodies.parse(bytes) instanceof ObjectNode body)) {
      throw ServingErrors.invalidField("", "the body must be a JSON object");
    }
    if (!body.path("model").isTextual()) {
      throw ServingErrors.invalidField("model", "model must be a string");
    }
    checkType(body, "stream", body.path("stream").isBoolean(), "true or false");
    checkType(body, "temperature", body.path("temperature").isNumber(), "a number");
    checkType(body, "top_p", body.path("top_p").isNumber(), "a number");
    String context = kind == CompletionKind.CHAT ? chatContext(body) : textContext(body);
    return CompletionRequest.of(
        kind,
        body,
        context.getBytes(StandardCharsets.UTF_8),
        body.path("stream").asBoolean(false),
        maxTokens(body));
  }

  private static void checkType(ObjectNode body, String field, boolean isRightType, String expected)
      throws ServingException {
    if (body.hasNonNull(field) && !isRightType) {
      throw ServingErrors.invalidField(field, field + " must be " + expected);
    }
  }

  private static int maxTokens(ObjectNode body) throws ServingException {
    int bound = 0;
    for (String field : new String[] {"max_tokens", "max_completion_tokens"}) {
      JsonNode value = body.path(field);
      if (value.isMissingNode() || value.isNull()) {
        continue;
      }
      if (!value.isInt() || value.asInt() < 1) {
        throw ServingErrors.invalidField(field, field + " must be a whole number of at least 1");
      }
      bound = value.asInt();
    }
    return bound;
  }

  /** Renders messages so that a longer conversation starts with the text of a shorter. */
  private static String chatContext(ObjectNode body) throws ServingException {
    JsonNode messages = body.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      throw ServingErrors.invalidField("messages", "messages must be an array that is not empty");
    }
    StringBuilder context = new StringBuilder();
    for (int i = 0; i < messages.size(); i++) {
      JsonNode message = messages.get(i);
      if (!message.path("role").isTextual()) {
        String field = "messages[" + i + "].role";
        throw ServingErrors.invalidField(field, field + " must be a string");
      }
      JsonNode content = message.path("content");
      if (!content.isTextual()
          && !content.isArray()
          && !content.isNull()
          && !content.isMissingNode()) {
        String field = "messages[" + i + "].content";
        throw ServingErrors.invalidField(field, field + " must be a string or an array");
      }
      context.append(message.path("role").asText()).append(FIELD_END);
      context.append(content.isTextual() ? content.asText() : content.toString());
      context.append(MESSAGE_END);
    }
    return context.toString();
  }

  private static String textContext(ObjectNode body) throws ServingException {
    JsonNode prompt = body.path("prompt");
    if (!prompt.isTextual()) {
      throw ServingErrors.invalidField("prompt", "prompt must be a string");
    }
    return prompt.asText();
  }
}
