package org.geraniumwharf.internal.replica;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import org.geraniumwharf.control.ControlOptions;
import org.geraniumwharf.internal.raft.RaftCore;
import org.geraniumwharf.internal.raft.RaftInitialState;
import org.geraniumwharf.internal.raft.RaftSnapshot;
import org.geraniumwharf.internal.raft.RaftTiming;
import org.geraniumwharf.internal.storage.ReplicaStorage;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.AppendRequest;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.WatchFreshness;
import org.geraniumwharf.schema.state.EntryKind;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;
import org.geraniumwharf.schema.state.Membership;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a replica with a slow disk that calls an index fresh behind a committed one. */
class FreshnessBeforeApplyTest {

  private static final List<String> MEMBERS = List.of("c-1", "c-2", "c-3");
  private static final Instant START = Instant.ofEpochSecond(1000);

  /** More than the interval between two messages of a watch, less than the election timeout. */
  private static final Duration STALL = Duration.ofMillis(300);

  private static final ControlOptions OPTIONS =
      new ControlOptions(
          "c-2",
          MEMBERS,
          Path.of("unused"),
          Duration.ofMillis(150),
          Duration.ofMillis(750),
          1000,
          Duration.ofSeconds(2),
          Duration.ofSeconds(5),
          Duration.ofHours(1),
          1000,
          ControlOptions.MEMBERS_BY_OPERATORS,
          Instant.EPOCH);

  private final SlowStorage storage = new SlowStorage();
  private final BlockingQueue<ControlAnswer> stream = new LinkedBlockingQueue<>();
  private volatile Instant now = START;
  private final ReplicaRunner follower = startFollower();

  @AfterEach
  void stop() throws Exception {
    storage.written.release(1000);
    follower.shutdown().get(30, SECONDS);
  }

  @Test
  void should_not_call_an_index_fresh_while_a_newer_committed_one_is_being_written()
      throws Exception {
    follower.watch(0, stream::offer);
    follower.receive(append(1));
    storage.begun.acquire();

    now = START.plus(STALL);
    follower.receive(append(2));
    storage.written.release();
    storage.begun.acquire();
    List<WatchFreshness> whileWriting = drainFreshness();
    storage.written.release();
    WatchFreshness afterWriting = nextFreshness(2);

    assertTrue(
        whileWriting.stream().allMatch(told -> told.ageMillis() >= STALL.toMillis()),
        "told while entry 2 was being written: " + whileWriting);
    assertEquals(2, afterWriting.index());
  }

  /** Returns an append of one entry that a quorum holds already. */
  private static AppendRequest append(long index) {
    LogEntry entry = LogEntry.of(index, 1, EntryKind.BARRIER, new byte[0]);
    return AppendRequest.of(
        "main", "c-1", 1, index - 1, index == 1 ? 0 : 1, List.of(entry), index, index, 0);
  }

  private List<WatchFreshness> drainFreshness() {
    List<WatchFreshness> told = new ArrayList<>();
    for (ControlAnswer message = stream.poll(); message != null; message = stream.poll()) {
      if (message instanceof WatchFreshness freshness) {
        told.add(freshness);
      }
    }
    return told;
  }

  private WatchFreshness nextFreshness(long index) throws InterruptedException {
    ControlAnswer message = stream.poll(30, SECONDS);
    while (!(message instanceof WatchFreshness freshness && freshness.index() == index)) {
      message = stream.poll(30, SECONDS);
    }
    return (WatchFreshness) message;
  }

  private ReplicaRunner startFollower() {
    RaftInitialState start =
        new RaftInitialState(
            "main",
            "c-2",
            RaftTiming.of(OPTIONS.heartbeatInterval(), OPTIONS.electionTimeout()),
            HardState.of(0, Optional.empty(), 0, false),
            0,
            0,
            Membership.of(MEMBERS, List.of()),
            List.of(),
            storage,
            new SplittableRandom(1));
    return ReplicaRunner.start(
        OPTIONS,
        RaftCore.create(start, now),
        storage,
        (to, message) -> {},
        EventLog.none(),
        () -> now);
  }

  /** Storage whose appends last until the test lets each end. */
  private static final class SlowStorage implements ReplicaStorage {

    private final Semaphore begun = new Semaphore(0);
    private final Semaphore written = new Semaphore(0);

    @Override
    public void append(Optional<HardState> hardState, List<LogEntry> entries) {
      begun.release();
      written.acquireUninterruptibly();
    }

    @Override
    public void saveSnapshot(RaftSnapshot snapshot, HardState hardState, List<LogEntry> retained) {}

    @Override
    public long usableBytes() {
      return Long.MAX_VALUE;
    }

    @Override
    public Optional<RaftSnapshot> latest() {
      return Optional.empty();
    }
  }
}
