package org.geraniumwharf.internal.serving;

import java.io.IOException;

/** Where an answer goes. */
public interface AnswerSink {

  /**
   * Sends a whole answer.
   *
   * @throws IOException if the caller hung up
   */
  void sendWhole(int status, String contentType, byte[] body) throws IOException;

  /**
   * Sends the data of one server-sent event, and the stream's header before the first.
   *
   * @throws IOException if the caller hung up
   */
  void sendEvent(String data) throws IOException;
}
