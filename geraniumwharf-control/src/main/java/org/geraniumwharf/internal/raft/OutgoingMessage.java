package org.geraniumwharf.internal.raft;

import org.geraniumwharf.schema.messages.RaftMessage;

/**
 * A message to be sent to another replica.
 *
 * @param to name of the replica that receives the message
 */
public record OutgoingMessage(String to, RaftMessage message) {}
