package org.geraniumwharf.internal.replica;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.configuration.ConfigurationChecker;
import org.geraniumwharf.configuration.ConfigurationDifference;
import org.geraniumwharf.configuration.ConfigurationFault;
import org.geraniumwharf.control.ControlOptions;
import org.geraniumwharf.control.StoreReader;
import org.geraniumwharf.error.ErrorKind;
import org.geraniumwharf.internal.raft.RaftCore;
import org.geraniumwharf.internal.raft.Role;
import org.geraniumwharf.internal.state.ControlState;
import org.geraniumwharf.internal.storage.ReplicaStorage;
import org.geraniumwharf.internal.storage.StorageException;
import org.geraniumwharf.schema.messages.CallFailed;
import org.geraniumwharf.schema.messages.ChangeVotersAnswer;
import org.geraniumwharf.schema.messages.ChangeVotersCall;
import org.geraniumwharf.schema.messages.ClaimOutcome;
import org.geraniumwharf.schema.messages.ClaimRunAnswer;
import org.geraniumwharf.schema.messages.ClaimRunCall;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.EvacuateAnswer;
import org.geraniumwharf.schema.messages.EvacuateCall;
import org.geraniumwharf.schema.messages.EvacuationOutcome;
import org.geraniumwharf.schema.messages.ExplainPlacementAnswer;
import org.geraniumwharf.schema.messages.ExplainPlacementCall;
import org.geraniumwharf.schema.messages.FinishRunCall;
import org.geraniumwharf.schema.messages.HeartbeatAnswer;
import org.geraniumwharf.schema.messages.HeartbeatCall;
import org.geraniumwharf.schema.messages.LeaveGroupAnswer;
import org.geraniumwharf.schema.messages.LeaveGroupCall;
import org.geraniumwharf.schema.messages.NameWeightsCall;
import org.geraniumwharf.schema.messages.NotLeader;
import org.geraniumwharf.schema.messages.PeerMessage;
import org.geraniumwharf.schema.messages.PublishAnswer;
import org.geraniumwharf.schema.messages.PublishCall;
import org.geraniumwharf.schema.messages.PublishOutcome;
import org.geraniumwharf.schema.messages.ReadDocumentAnswer;
import org.geraniumwharf.schema.messages.ReadDocumentCall;
import org.geraniumwharf.schema.messages.ReadIndexAnswer;
import org.geraniumwharf.schema.messages.ReadIndexCall;
import org.geraniumwharf.schema.messages.ReplicaStatus;
import org.geraniumwharf.schema.messages.StatusAnswer;
import org.geraniumwharf.schema.messages.StatusCall;
import org.geraniumwharf.schema.messages.SteerRolloutCall;
import org.geraniumwharf.schema.state.ClaimRunCommand;
import org.geraniumwharf.schema.state.Command;
import org.geraniumwharf.schema.state.EvacuateCommand;
import org.geraniumwharf.schema.state.FinishRunCommand;
import org.geraniumwharf.schema.state.NameWeightsCommand;
import org.geraniumwharf.schema.state.NamedWeights;
import org.geraniumwharf.schema.state.PublishCommand;
import org.geraniumwharf.schema.state.PublishRecord;
import org.geraniumwharf.schema.state.RunRecord;
import org.geraniumwharf.schema.state.RunState;
import org.geraniumwharf.schema.state.SteerRolloutCommand;

/**
 * Handles the calls of daemons: answers them from the state or proposes commands for them. Used by
 * the replica thread only.
 */
final class CallHandler {

  private static final long RESERVED_DISK_BYTES = 16L << 20;
  private static final int MAX_STATUS_PUBLICATIONS = 20;

  /**
   * Age from which an order to evacuate is not proposed any more. Operators resend an order for 5
   * s; one that is given up must not take effect later.
   */
  private static final Duration MAX_ORDER_AGE = Duration.ofMillis(2500);

  private final ControlOptions options;
  private final RaftCore core;
  private final ControlState state;
  private final LeaderDuties duties;
  private final PlacementDuty placement;
  private final ReplicaStorage storage;
  private final StoreReader stores;
  private final BiConsumer<Command, CompletableFuture<ControlAnswer>> propose;
  private final Consumer<CompletableFuture<ControlAnswer>> read;

  CallHandler(
      ControlOptions options,
      RaftCore core,
      ControlState state,
      LeaderDuties duties,
      PlacementDuty placement,
      ReplicaStorage storage,
      StoreReader stores,
      BiConsumer<Command, CompletableFuture<ControlAnswer>> propose,
      Consumer<CompletableFuture<ControlAnswer>> read) {
    this.options = options;
    this.core = core;
    this.state = state;
    this.duties = duties;
    this.placement = placement;
    this.storage = storage;
    this.stores = stores;
    this.propose = propose;
    this.read = read;
  }

  /**
   * Handles a call. The answer is completed at once, or later by the replica thread when an entry
   * is applied or a read is confirmed; on a replica that does not lead it is {@code NotLeader}.
   */
  void handle(PeerMessage call, CompletableFuture<ControlAnswer> answer, Instant now) {
    if (core.role() != Role.LEADER) {
      answer.complete(NotLeader.of(core.leader()));
    } else if (call instanceof ReadIndexCall) {
      read.accept(answer);
    } else if (call instanceof HeartbeatCall heartbeat) {
      handleHeartbeat(heartbeat, answer, now);
    } else if (call instanceof StatusCall) {
      answer.complete(status(now));
    } else if (call instanceof PublishCall publish) {
      handlePublish(publish, answer, now);
    } else if (call instanceof ClaimRunCall claim) {
      handleClaimRun(claim, answer, now);
    } else if (call instanceof FinishRunCall finish) {
      proposeUnlessDiskFull(
          FinishRunCommand.of(
              finish.run(), finish.attempt(), finish.state(), finish.answer(), now.toEpochMilli()),
          answer);
    } else if (call instanceof ChangeVotersCall change) {
      handleChangeVoters(change, answer, now);
    } else if (call instanceof LeaveGroupCall leave) {
      answer.complete(LeaveGroupAnswer.of(core.leave(leave.name(), now)));
    } else if (call instanceof SteerRolloutCall steer) {
      handleSteerRollout(steer, answer, now);
    } else if (call instanceof ReadDocumentCall) {
      readDocument(answer);
    } else if (call instanceof NameWeightsCall nameWeights) {
      handleNameWeights(nameWeights, answer, now);
    } else if (call instanceof EvacuateCall evacuate) {
      handleEvacuate(evacuate, answer, now);
    } else if (call instanceof ExplainPlacementCall explain) {
      answer.complete(explainPlacement(explain.target()));
    } else {
      answer.complete(
          CallFailed.of(
              ErrorKind.INVALID_REQUEST.wireName(),
              "not a call: " + call.getClass().getSimpleName(),
              false));
    }
  }

  private void handleHeartbeat(
      HeartbeatCall heartbeat, CompletableFuture<ControlAnswer> answer, Instant now) {
    placement.recordDemand(heartbeat);
    for (Command command : duties.receiveHeartbeat(heartbeat, state, now)) {
      propose.accept(command, new CompletableFuture<>());
    }
    answer.complete(
        HeartbeatAnswer.of(
            options.name(),
            core.term(),
            duties.liveEntryInstances(now),
            duties.updateLimitShares(heartbeat, now),
            duties.remoteLoad(heartbeat.daemon().name()),
            duties.unusualSpeeds(now),
            duties.suspectedParts(),
            duties.quarantinedParts(),
            stores.changesSince(heartbeat.storePositions()),
            duties.targetLimits(now),
            duties.issuePermits(heartbeat, now),
            duties.entryRank(heartbeat, state, core.confirmedAge(now), now),
            duties.regions(heartbeat, now)));
  }

  private void handlePublish(
      PublishCall publish, CompletableFuture<ControlAnswer> answer, Instant now) {
    List<ConfigurationFault> faults = new ArrayList<>();
    faults.addAll(ConfigurationChecker.checkObjects(publish.objects()));
    faults.addAll(RolloutFaults.check(state.rollouts(), publish.objects()));
    if (!faults.isEmpty()) {
      answer.complete(
          PublishAnswer.of(
              PublishOutcome.REJECTED,
              state.configuration().version(),
              Optional.empty(),
              faults.stream().map(ConfigurationFault::toString).toList()));
      return;
    }
    ConfigurationDifference difference =
        ConfigurationDifference.between(state.configuration().objects(), publish.objects());
    proposeUnlessDiskFull(
        PublishCommand.of(
            publish.publishId(),
            publish.operator(),
            publish.version().isPresent() ? state.configuration().version() : publish.baseVersion(),
            Configuration.digestOf(publish.objects()),
            difference.upserts(),
            difference.removals(),
            now.toEpochMilli(),
            publish.version(),
            publish.document()),
        answer);
  }

  /** Answers with the document in force once a quorum has confirmed this leader. */
  private void readDocument(CompletableFuture<ControlAnswer> answer) {
    CompletableFuture<ControlAnswer> confirmed = new CompletableFuture<>();
    var unused =
        confirmed.thenAccept(
            read ->
                answer.complete(
                    read instanceof ReadIndexAnswer
                        ? ReadDocumentAnswer.of(state.configuration().version(), state.document())
                        : read));
    read.accept(confirmed);
  }

  private void handleNameWeights(
      NameWeightsCall call, CompletableFuture<ControlAnswer> answer, Instant now) {
    NamedWeights weights = NamedWeights.of(call.model(), call.version(), now.toEpochMilli());
    proposeUnlessDiskFull(NameWeightsCommand.of(weights), answer);
  }

  /**
   * Proposes an order to evacuate a data centre, or to end that. An order that was confirmed to be
   * received at an index above the own one was confirmed by another leader, and one that is too old
   * was given up.
   */
  private void handleEvacuate(
      EvacuateCall call, CompletableFuture<ControlAnswer> answer, Instant now) {
    if (call.ageMillis() >= MAX_ORDER_AGE.toMillis()) {
      answer.complete(PendingCalls.failed("the order is too old", false));
    } else if (call.receivedIndex() > state.index()) {
      answer.complete(PendingCalls.failed("this leader has not applied all entries", false));
    } else if (isKnownDataCentre(call.dataCentre(), now)) {
      proposeUnlessDiskFull(
          EvacuateCommand.of(
              call.dataCentre(), call.active(), call.receivedIndex(), now.toEpochMilli()),
          answer);
    } else if (duties.hasHeardAllDaemons(now)) {
      answer.complete(EvacuateAnswer.of(EvacuationOutcome.UNKNOWN, 0));
    } else {
      answer.complete(PendingCalls.failed("this leader has not heard of all instances yet", false));
    }
  }

  private boolean isKnownDataCentre(String name, Instant now) {
    return state.isRecordedDataCentre(name)
        || duties.liveDaemons(now).stream().anyMatch(daemon -> daemon.dataCentre().equals(name));
  }

  /**
   * Claims a run. If another attempt has already claimed it, the answer needs no log entry; every
   * other outcome does.
   */
  private void handleClaimRun(
      ClaimRunCall claim, CompletableFuture<ControlAnswer> answer, Instant now) {
    Optional<RunRecord> run = state.run(claim.run());
    boolean isHeldByOther =
        run.isPresent()
            && run.get().state() == RunState.CLAIMED
            && run.get().fingerprint().equals(claim.fingerprint())
            && !run.get().attempt().equals(claim.attempt());
    if (isHeldByOther) {
      answer.complete(ClaimRunAnswer.of(ClaimOutcome.IN_PROGRESS, Optional.empty()));
      return;
    }
    proposeUnlessDiskFull(
        ClaimRunCommand.of(claim.run(), claim.attempt(), claim.fingerprint(), now.toEpochMilli()),
        answer);
  }

  private void handleChangeVoters(
      ChangeVotersCall change, CompletableFuture<ControlAnswer> answer, Instant now) {
    if (core.changeMembership(change.name(), change.add(), now)) {
      answer.complete(ChangeVotersAnswer.of(core.membership()));
    } else {
      answer.complete(
          PendingCalls.failed(
              "another change of voters is under way, or a remaining voter is behind", false));
    }
  }

  private void handleSteerRollout(
      SteerRolloutCall steer, CompletableFuture<ControlAnswer> answer, Instant now) {
    proposeUnlessDiskFull(
        SteerRolloutCommand.of(
            steer.deployment(), steer.action(), steer.operator(), now.toEpochMilli()),
        answer);
  }

  private ExplainPlacementAnswer explainPlacement(String target) {
    return ExplainPlacementAnswer.of(
        options.name(), core.term(), state.target(target), placement.notes(target));
  }

  /**
   * Proposes a command unless the free disk space is below {@link #RESERVED_DISK_BYTES}, in which
   * case the call fails as not applied.
   */
  private void proposeUnlessDiskFull(Command command, CompletableFuture<ControlAnswer> answer) {
    try {
      if (storage.usableBytes() >= RESERVED_DISK_BYTES) {
        propose.accept(command, answer);
        return;
      }
    } catch (StorageException e) {
      answer.complete(CallFailed.of(ErrorKind.STORAGE_FULL.wireName(), e.getMessage(), false));
      return;
    }
    answer.complete(
        CallFailed.of(
            ErrorKind.STORAGE_FULL.wireName(),
            "the disk of control instance " + options.name() + " is full",
            false));
  }

  private StatusAnswer status(Instant now) {
    List<ReplicaStatus> replicas = new ArrayList<>(core.replicaStatuses(now));
    replicas.add(
        ReplicaStatus.of(
            options.name(),
            core.membership().voters().contains(options.name()),
            core.lastIndex(),
            0));
    Map<String, Long> runs = new TreeMap<>();
    state.runsByState().forEach((key, count) -> runs.put(key.name(), count));
    List<PublishRecord> publications = state.publications();
    int from = Math.max(0, publications.size() - MAX_STATUS_PUBLICATIONS);
    return StatusAnswer.of(
        options.name(),
        core.term(),
        core.commitIndex(),
        state.configuration().version(),
        publications.subList(from, publications.size()),
        replicas,
        duties.liveDaemons(now),
        runs);
  }
}
