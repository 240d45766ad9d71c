package org.geraniumwharf.internal.serving;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** A parsed generation request. */
public final class CompletionRequest {

  private final CompletionKind kind;
  private final ObjectNode body;
  private final byte[] context;
  private final boolean isStream;
  private final int maxTokens;

  private CompletionRequest(
      CompletionKind kind, ObjectNode body, byte[] context, boolean isStream, int maxTokens) {
    this.kind = kind;
    this.body = body;
    this.context = context;
    this.isStream = isStream;
    this.maxTokens = maxTokens;
  }

  /**
   * Creates a request.
   *
   * @param body body as the caller sent it; not changed afterwards
   * @param context text of the context in a form in which a longer conversation extends a shorter
   * @param maxTokens maximum number of tokens to generate; 0 when the caller set no bound
   */
  public static CompletionRequest of(
      CompletionKind kind, ObjectNode body, byte[] context, boolean isStream, int maxTokens) {
    return new CompletionRequest(kind, body, context, isStream, maxTokens);
  }

  CompletionKind kind() {
    return kind;
  }

  ObjectNode body() {
    return body;
  }

  byte[] context() {
    return context;
  }

  /** Returns the name of the requested route. */
  public String model() {
    return body.path("model").asText();
  }

  public boolean isStream() {
    return isStream;
  }

  int maxTokens() {
    return maxTokens;
  }
}
