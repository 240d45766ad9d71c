package org.geraniumwharf.control;

import org.geraniumwharf.schema.messages.RaftMessage;

/** Sends messages to other replicas. Lost messages are harmless: the Raft core sends them again. */
public interface RaftSender {

  /** Sends a message without blocking; a message that cannot be sent is dropped. */
  void send(String to, RaftMessage message);
}
