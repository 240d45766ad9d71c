package org.geraniumwharf.control;

import org.geraniumwharf.schema.messages.ControlAnswer;

/** Receives a stream of view snapshots, changes and freshness messages. */
public interface ViewSink {

  /**
   * Accepts the next message without blocking.
   *
   * @return false to end the stream
   */
  boolean offer(ControlAnswer message);
}
