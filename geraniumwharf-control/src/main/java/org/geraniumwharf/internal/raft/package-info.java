/**
 * Raft leader election and log replication as a deterministic state machine. Its inputs are
 * messages, ticks and the current time; its outputs are writes and messages. It performs no I/O,
 * starts no threads and reads no clock.
 */
package org.geraniumwharf.internal.raft;
