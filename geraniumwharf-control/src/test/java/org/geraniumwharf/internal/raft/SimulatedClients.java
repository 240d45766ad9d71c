package org.geraniumwharf.internal.raft;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.geraniumwharf.schema.messages.ClaimOutcome;
import org.geraniumwharf.schema.messages.ClaimRunAnswer;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.PublishAnswer;
import org.geraniumwharf.schema.messages.PublishOutcome;
import org.geraniumwharf.schema.objects.Service;
import org.geraniumwharf.schema.state.ClaimRunCommand;
import org.geraniumwharf.schema.state.DoubtRunsCommand;
import org.geraniumwharf.schema.state.FinishRunCommand;
import org.geraniumwharf.schema.state.PublishCommand;
import org.geraniumwharf.schema.state.RunAttempt;
import org.geraniumwharf.schema.state.RunKey;
import org.geraniumwharf.schema.state.RunState;

/**
 * Operators that publish concurrently on the same base version and callers that resend requests.
 * Checks the answers: each version is accepted once, no accepted version is lost, and each key runs
 * at most once.
 */
final class SimulatedClients {

  private static final int RUN_KEYS = 12;

  private final RandomGenerator random;
  private final Map<Long, String> publishIdByVersion = new HashMap<>();
  private final Map<RunKey, Integer> executions = new HashMap<>();
  private final Set<String> releasedAttempts = new HashSet<>();
  private final Deque<PendingFinish> pendingFinishes = new ArrayDeque<>();
  private long newestAcceptedVersion;
  private int operations;

  SimulatedClients(RandomGenerator random) {
    this.random = random;
  }

  void performOperation(SimulatedReplica replica, Instant now) {
    operations++;
    switch (random.nextInt(4)) {
      case 0 -> publish(replica, now);
      case 1 -> claim(replica, now);
      case 2 -> markInDoubt(replica, now);
      default -> read(replica, now);
    }
  }

  private void publish(SimulatedReplica replica, Instant now) {
    String id = "publish-" + operations;
    long base = replica.state().configuration().version();
    long acceptedBefore = newestAcceptedVersion;
    replica.propose(
        PublishCommand.of(
            id,
            "operator",
            base,
            id,
            List.of(Service.of("service-" + operations, operations)),
            List.of(),
            now.toEpochMilli(),
            Optional.empty(),
            Optional.empty()),
        answer -> checkPublished(id, acceptedBefore, answer),
        now);
  }

  /**
   * Checks real-time order: the version that a call returns is newer than all versions accepted
   * before the call started. Concurrent calls may be answered in either order, for example if a
   * former leader receives the commit of its entry late (seed 2606).
   */
  private void checkPublished(String id, long acceptedBefore, ControlAnswer answer) {
    PublishAnswer outcome = (PublishAnswer) answer;
    if (outcome.outcome() != PublishOutcome.ACCEPTED) {
      return;
    }
    String other = publishIdByVersion.putIfAbsent(outcome.version(), id);
    if (other != null) {
      throw new AssertionError(
          "version " + outcome.version() + " was accepted twice: " + other + ", " + id);
    }
    if (outcome.version() <= acceptedBefore) {
      throw new AssertionError("version " + outcome.version() + " after " + acceptedBefore);
    }
    newestAcceptedVersion = Math.max(newestAcceptedVersion, outcome.version());
  }

  private void claim(SimulatedReplica replica, Instant now) {
    RunKey run = RunKey.of("organisation", "route", "key-" + random.nextInt(RUN_KEYS));
    RunAttempt attempt =
        RunAttempt.of("attempt-" + operations, "daemon-" + random.nextInt(3), operations);
    replica.propose(
        ClaimRunCommand.of(run, attempt, "fingerprint", now.toEpochMilli()),
        answer -> handleClaim(replica, run, attempt, ((ClaimRunAnswer) answer).outcome(), now),
        now);
  }

  /** Runs a claimed attempt, or releases it without running it. The finish command may be lost. */
  private void handleClaim(
      SimulatedReplica replica, RunKey run, RunAttempt attempt, ClaimOutcome outcome, Instant now) {
    if (outcome != ClaimOutcome.CLAIMED || releasedAttempts.contains(attempt.attempt())) {
      return;
    }
    boolean shouldRun = random.nextInt(3) > 0;
    if (shouldRun && executions.merge(run, 1, Integer::sum) > 1) {
      throw new AssertionError("key ran more than once: " + run);
    }
    if (!shouldRun) {
      releasedAttempts.add(attempt.attempt());
    }
    pendingFinishes.add(
        new PendingFinish(
            replica,
            FinishRunCommand.of(
                run,
                attempt,
                shouldRun ? RunState.COMPLETED : RunState.RELEASED,
                Optional.empty(),
                now.toEpochMilli())));
  }

  /**
   * Proposes the queued finish commands. They cannot be proposed from the callback of a claim,
   * which runs while the replica still processes its output.
   */
  void sendFinishes(Instant now) {
    while (!pendingFinishes.isEmpty()) {
      PendingFinish end = pendingFinishes.poll();
      end.replica().propose(end.command(), answer -> {}, now);
    }
  }

  private void markInDoubt(SimulatedReplica replica, Instant now) {
    replica.propose(
        DoubtRunsCommand.of(
            "daemon-" + random.nextInt(3), random.nextInt(operations + 1), now.toEpochMilli()),
        answer -> {},
        now);
  }

  private void read(SimulatedReplica replica, Instant now) {
    long acceptedBefore = newestAcceptedVersion;
    replica.requestReadIndex(
        index -> {
          long seen = replica.state().configuration().version();
          if (replica.state().index() >= index && seen < acceptedBefore) {
            throw new AssertionError("read version " + seen + " after " + acceptedBefore);
          }
        },
        now);
  }

  long newestAcceptedVersion() {
    return newestAcceptedVersion;
  }

  private record PendingFinish(SimulatedReplica replica, FinishRunCommand command) {}
}
