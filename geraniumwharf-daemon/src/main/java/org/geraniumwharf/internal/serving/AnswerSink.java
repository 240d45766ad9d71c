package org.geraniumwharf.internal.serving;

import java.io.IOException;

/** Receives the answer to one request and sends it to the caller. */
public interface AnswerSink {

  /**
   * Sends a whole answer.
   *
   * @throws IOException if the caller disconnected
   */
  void sendWhole(int status, String contentType, byte[] body) throws IOException;

  /**
   * Sends the data of one server-sent event, preceded by the response header on the first call.
   *
   * @throws IOException if the caller disconnected
   */
  void sendEvent(String data) throws IOException;
}
