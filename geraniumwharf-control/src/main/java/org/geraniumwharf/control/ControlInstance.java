package org.geraniumwharf.control;

import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.PeerMessage;
import org.geraniumwharf.schema.messages.RaftMessage;

/**
 * One control instance. Every method returns at once and may be called by any thread.
 *
 * <pre>{@code
 * ControlInstance instance = ControlInstances.start(options, sender, log, clock);
 * instance.call(ReadIndexCall.of("entry-1")).thenAccept(answer -> ...);
 * }</pre>
 */
public interface ControlInstance {

  /** Takes a message of another replica; it is dropped when the instance is not running. */
  void receive(RaftMessage message);

  /**
   * Carries out a call of a daemon. The answer is {@code NotLeader} where another instance must be
   * asked and {@code CallFailed} where the call failed; the future never completes exceptionally.
   */
  CompletableFuture<ControlAnswer> call(PeerMessage call);

  /**
   * Streams view snapshots, changes and freshness to a sink until the sink refuses one.
   *
   * @param afterIndex index of the view that the receiver holds; 0 for none
   */
  void watch(long afterIndex, ViewSink sink);

  /** Tells whether the replica is a member of its group that leads or hears a leader. */
  boolean isJoined();

  /** Returns this instance's leadership; empty while it does not lead. */
  Optional<Leadership> leadership(Instant now);

  /** Tells whether the replica holds any log entry. */
  boolean isInitialised();

  /** Hands leadership over and stops; the future completes once nothing is written any more. */
  CompletableFuture<Void> shutdown();
}
