package org.geraniumwharf.control;

import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.PeerMessage;
import org.geraniumwharf.schema.messages.RaftMessage;

/**
 * A control instance. No method blocks, and each may be called by any thread.
 *
 * <pre>{@code
 * ControlInstance instance = ControlInstances.start(options, sender, log, clock);
 * instance.call(ReadIndexCall.of("entry-1")).thenAccept(answer -> ...);
 * }</pre>
 */
public interface ControlInstance {

  /**
   * Receives a message from another replica. The message is dropped if the instance is stopping or
   * its input queue is full.
   */
  void receive(RaftMessage message);

  /**
   * Handles a call of a daemon. The answer is {@code NotLeader} if the call must go to another
   * instance and {@code CallFailed} if the call failed; the future never completes exceptionally.
   */
  CompletableFuture<ControlAnswer> call(PeerMessage call);

  /**
   * Streams view snapshots, changes and freshness to a sink until the sink rejects a message.
   *
   * @param afterIndex index of the view that the receiver holds; 0 for none
   */
  void watch(long afterIndex, ViewSink sink);

  /**
   * Returns whether the replica is a member of its group that leads or receives messages from a
   * leader.
   */
  boolean isJoined();

  /** Hands on the contents of cache stores with the answers to heartbeats from now on. */
  void readStores(StoreReader reader);

  /** Returns this instance's leadership as of {@code now}; empty while it does not lead. */
  Optional<Leadership> leadership(Instant now);

  /**
   * Completes with the cause if the replica ended by an error. It then neither answers nor takes
   * part in its group until the process is started again.
   */
  CompletableFuture<Throwable> failure();

  /** Returns whether the replica's log holds any entry. */
  boolean isInitialised();

  /** Transfers leadership and stops; the future completes after the last write to storage. */
  CompletableFuture<Void> shutdown();
}
