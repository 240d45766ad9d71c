package org.geraniumwharf.internal.replica;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.geraniumwharf.control.ControlOptions;
import org.geraniumwharf.internal.raft.RaftCore;
import org.geraniumwharf.internal.raft.RaftInitialState;
import org.geraniumwharf.internal.raft.RaftSnapshot;
import org.geraniumwharf.internal.raft.RaftTiming;
import org.geraniumwharf.internal.storage.DataFolder;
import org.geraniumwharf.internal.storage.FileReplicaStorage;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.NotLeader;
import org.geraniumwharf.schema.messages.PeerMessage;
import org.geraniumwharf.schema.messages.PublishAnswer;
import org.geraniumwharf.schema.messages.PublishCall;
import org.geraniumwharf.schema.messages.ReadDocumentAnswer;
import org.geraniumwharf.schema.messages.ReadDocumentCall;
import org.geraniumwharf.schema.objects.Service;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.Membership;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a log that grows by the bytes of each publication until no replica has the memory
 * to read it back: snapshots were due by the number of entries alone.
 */
class HundredsOfLargeChangesTest {

  private static final int CHANGES = 500;
  private static final int DOCUMENT_BYTES = 94_000;

  /** Share of a control process's heap that its log may take. */
  private static final long MAX_LOG_BYTES = 16L << 20;

  /** More entries than the changes of this test. */
  private static final int SNAPSHOT_ENTRIES = 2000;

  @TempDir private Path folder;

  @Test
  void should_keep_the_log_small_and_start_again_with_the_newest_document() throws Exception {
    publishAll();

    long logBytes = Files.size(folder.resolve("log"));
    assertTrue(logBytes <= MAX_LOG_BYTES, "log of " + logBytes + " bytes");
    assertArrayEquals(document(CHANGES - 1), readAfterRestart());
  }

  private void publishAll() throws Exception {
    try (DataFolder data = DataFolder.open(folder)) {
      FileReplicaStorage.OpenResult opened = FileReplicaStorage.open(data);
      ReplicaRunner runner = start(opened);
      for (int i = 0; i < CHANGES; i++) {
        PublishCall call = publication(i);
        assertInstanceOf(PublishAnswer.class, callLeader(runner, call));
      }
      runner.shutdown().get(30, SECONDS);
      opened.storage().close();
    }
  }

  private byte[] readAfterRestart() throws Exception {
    try (DataFolder data = DataFolder.open(folder)) {
      FileReplicaStorage.OpenResult opened = FileReplicaStorage.open(data);
      ReplicaRunner runner = start(opened);
      ControlAnswer answer = callLeader(runner, ReadDocumentCall.of("operator"));
      runner.shutdown().get(30, SECONDS);
      opened.storage().close();
      return assertInstanceOf(ReadDocumentAnswer.class, answer).document().orElseThrow();
    }
  }

  private static ControlAnswer callLeader(ReplicaRunner runner, PeerMessage call) throws Exception {
    ControlAnswer answer = runner.call(call).get(30, SECONDS);
    while (answer instanceof NotLeader) {
      answer = runner.call(call).get(30, SECONDS);
    }
    return answer;
  }

  private static PublishCall publication(int number) {
    return PublishCall.of(
        "publish-" + number,
        "operator",
        number,
        List.of(Service.of("service", 1 + number % 2)),
        Optional.empty(),
        Optional.of(document(number)));
  }

  private static byte[] document(int number) {
    byte[] document = new byte[DOCUMENT_BYTES];
    Arrays.fill(document, (byte) number);
    return document;
  }

  private ReplicaRunner start(FileReplicaStorage.OpenResult opened) {
    ControlOptions options =
        new ControlOptions(
            "c-1",
            List.of("c-1"),
            folder,
            Duration.ofMillis(20),
            Duration.ofMillis(60),
            SNAPSHOT_ENTRIES,
            Duration.ofSeconds(2),
            Duration.ofSeconds(5),
            Duration.ofHours(1),
            1000,
            ControlOptions.MEMBERS_BY_OPERATORS,
            Instant.EPOCH);
    Optional<RaftSnapshot> snapshot = opened.recovered().snapshot();
    HardState hardState = opened.recovered().hardState();
    RaftInitialState initial =
        new RaftInitialState(
            "main",
            "c-1",
            RaftTiming.of(options.heartbeatInterval(), options.electionTimeout()),
            hardState,
            snapshot.map(RaftSnapshot::index).orElse(0L),
            snapshot.map(RaftSnapshot::term).orElse(0L),
            Membership.of(List.of("c-1"), List.of()),
            opened.recovered().entries(),
            opened.storage(),
            new SplittableRandom(1));
    return ReplicaRunner.start(
        options,
        RaftCore.create(initial, Instant.now()),
        opened.storage(),
        (to, message) -> {},
        EventLog.none(),
        Instant::now);
  }
}
