package org.geraniumwharf.internal.caller;

import io.javalin.http.Context;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.geraniumwharf.internal.serving.AnswerSink;

/** Writes an answer to the caller's connection; every event is flushed. */
final class HttpAnswerSink implements AnswerSink {

  private static final byte[] EVENT_START = "data: ".getBytes(StandardCharsets.UTF_8);
  private static final byte[] EVENT_END = "\n\n".getBytes(StandardCharsets.UTF_8);

  private final Context context;
  private boolean isStarted;

  HttpAnswerSink(Context context) {
    this.context = context;
  }

  @Override
  public void sendWhole(int status, String contentType, byte[] body) throws IOException {
    isStarted = true;
    context.status(status);
    context.contentType(contentType);
    context.res().setContentLength(body.length);
    OutputStream output = context.res().getOutputStream();
    output.write(body);
    output.flush();
  }

  @Override
  public void sendEvent(String data) throws IOException {
    if (!isStarted) {
      isStarted = true;
      context.status(200);
      context.contentType("text/event-stream");
      context.header("Cache-Control", "no-cache");
    }
    append(data.getBytes(StandardCharsets.UTF_8));
  }

  /** Sends one more event of a stream that has begun. */
  void append(byte[] data) throws IOException {
    OutputStream output = context.res().getOutputStream();
    output.write(EVENT_START);
    output.write(data);
    output.write(EVENT_END);
    output.flush();
  }
}
