package org.geraniumwharf.internal.serving;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.geraniumwharf.internal.target.TargetCallException;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.targets.ChunkHints;

/**
 * Tracks the part of a streamed answer that the caller has received. Over several attempts each
 * token is passed on once and in order: a chunk of another attempt is an error, repeated tokens are
 * dropped, and a gap fails the attempt. Not thread-safe.
 */
final class StreamProgress {

  private static final String HINTS_FIELD = "geraniumwharf";

  private final String answerId;
  private final String route;
  private final StringBuilder text = new StringBuilder();
  private int tokens;
  private boolean isStarted;

  StreamProgress(String requestId, String route) {
    this.answerId = "chatcmpl-" + requestId;
    this.route = route;
  }

  /** Returns whether any event was passed on, with or without a token. */
  boolean isStarted() {
    return isStarted;
  }

  int tokens() {
    return tokens;
  }

  String text() {
    return text.toString();
  }

  /**
   * Processes a chunk of an attempt.
   *
   * @return the chunk to pass on; empty when the caller already has it
   * @throws TargetCallException if the chunk is malformed or does not continue the answer
   */
  Optional<String> accept(String target, String attempt, String data) throws TargetCallException {
    ObjectNode chunk = parse(target, data);
    ChunkHints hints = hintsOf(target, chunk);
    if (!hints.attempt().equals(attempt)) {
      throw TargetCallException.unclear(
          target, "a chunk belongs to another attempt: " + hints.attempt());
    }
    String piece = textOf(chunk);
    boolean isControl = isEnd(chunk) || !isStarted;
    if (hints.offset() > tokens) {
      throw TargetCallException.unclear(
          target, "tokens " + tokens + " to " + (hints.offset() - 1) + " are missing");
    }
    boolean isRepeated = !piece.isEmpty() && hints.offset() < tokens;
    if (isRepeated || (piece.isEmpty() && !isControl)) {
      return Optional.empty();
    }
    isStarted = true;
    if (!piece.isEmpty()) {
      tokens++;
      text.append(piece);
    }
    chunk.put("id", answerId);
    chunk.put("model", route);
    return Optional.of(Codec.json().encodeText(chunk));
  }

  private static ObjectNode parse(String target, String data) throws TargetCallException {
    try {
      JsonNode node = Codec.json().parse(data.getBytes(StandardCharsets.UTF_8));
      if (node instanceof ObjectNode object) {
        return object;
      }
    } catch (IOException e) {
      throw TargetCallException.unclear(target, "a chunk is not JSON");
    }
    throw TargetCallException.unclear(target, "a chunk is not an object");
  }

  private static ChunkHints hintsOf(String target, ObjectNode chunk) throws TargetCallException {
    JsonNode hints = chunk.remove(HINTS_FIELD);
    try {
      if (hints != null) {
        return Codec.json().convert(hints, ChunkHints.class);
      }
    } catch (IOException | IllegalArgumentException e) {
      throw TargetCallException.unclear(target, "a chunk has malformed hints");
    }
    throw TargetCallException.unclear(target, "a chunk does not name its attempt");
  }

  private static String textOf(ObjectNode chunk) {
    JsonNode choice = chunk.path("choices").path(0);
    String delta = choice.path("delta").path("content").asText("");
    return delta.isEmpty() ? choice.path("text").asText("") : delta;
  }

  private static boolean isEnd(ObjectNode chunk) {
    boolean isFinished = chunk.path("choices").path(0).path("finish_reason").isTextual();
    return isFinished || chunk.path("usage").isObject();
  }
}
