package org.geraniumwharf.internal.raft;

import org.geraniumwharf.schema.messages.RaftMessage;

/**
 * A message to another replica.
 *
 * @param to name of the receiver
 */
public record OutgoingMessage(String to, RaftMessage message) {}
