package org.geraniumwharf.internal.serving;

/** The two generation calls of the caller protocol; engines serve them at the same paths. */
public enum CompletionKind {
  CHAT("/v1/chat/completions"),
  TEXT("/v1/completions");

  private final String path;

  CompletionKind(String path) {
    this.path = path;
  }

  public String path() {
    return path;
  }
}
