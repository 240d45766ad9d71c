package org.geraniumwharf.internal.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.placement.OrderRules;
import org.geraniumwharf.placement.PlacementSnapshot;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.FinishRunAnswer;
import org.geraniumwharf.schema.messages.NameWeightsAnswer;
import org.geraniumwharf.schema.messages.PublishAnswer;
import org.geraniumwharf.schema.messages.PublishOutcome;
import org.geraniumwharf.schema.messages.SteerRolloutAnswer;
import org.geraniumwharf.schema.objects.CacheStore;
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.state.AnnounceCommand;
import org.geraniumwharf.schema.state.ClaimRunCommand;
import org.geraniumwharf.schema.state.Command;
import org.geraniumwharf.schema.state.DoubtRunsCommand;
import org.geraniumwharf.schema.state.EndOrderCommand;
import org.geraniumwharf.schema.state.EvacuateCommand;
import org.geraniumwharf.schema.state.Evacuation;
import org.geraniumwharf.schema.state.FinishRunCommand;
import org.geraniumwharf.schema.state.IssueOrderCommand;
import org.geraniumwharf.schema.state.LapseTargetCommand;
import org.geraniumwharf.schema.state.Membership;
import org.geraniumwharf.schema.state.NameWeightsCommand;
import org.geraniumwharf.schema.state.NamedWeights;
import org.geraniumwharf.schema.state.ObjectReference;
import org.geraniumwharf.schema.state.OrderOutcome;
import org.geraniumwharf.schema.state.OrderRecord;
import org.geraniumwharf.schema.state.PruneCommand;
import org.geraniumwharf.schema.state.PublishCommand;
import org.geraniumwharf.schema.state.PublishRecord;
import org.geraniumwharf.schema.state.RolloutRecord;
import org.geraniumwharf.schema.state.RunKey;
import org.geraniumwharf.schema.state.RunRecord;
import org.geraniumwharf.schema.state.RunState;
import org.geraniumwharf.schema.state.StateSnapshot;
import org.geraniumwharf.schema.state.SteerRolloutCommand;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.LoadedWeights;
import org.geraniumwharf.schema.view.FleetView;
import org.geraniumwharf.schema.view.ViewChange;

/**
 * The replicated state machine of the control role. Every replica applies the same commands in the
 * same order and reaches the same state, so time comes only from the commands and never from a
 * clock. Not thread-safe.
 */
public final class ControlState {

  private final PublicationTable publications = new PublicationTable();
  private final TargetTable targets = new TargetTable();
  private final RolloutTable rollouts = new RolloutTable();
  private final RunTable runs = new RunTable();
  private final WeightsTable weights = new WeightsTable();
  private final EvacuationTable evacuations = new EvacuationTable();
  private long index;

  private ControlState() {}

  /** Returns a state to which no log entry has been applied. */
  public static ControlState empty() {
    return new ControlState();
  }

  /**
   * Outcome of one command.
   *
   * @param answer response to the proposer, if the command has one
   * @param change difference to the previous view, if the command changed the view
   */
  public record ApplyResult(Optional<ControlAnswer> answer, Optional<ViewChange> change) {

    private static ApplyResult ofAnswer(ControlAnswer answer) {
      return new ApplyResult(Optional.of(answer), Optional.empty());
    }

    private static ApplyResult unchanged() {
      return new ApplyResult(Optional.empty(), Optional.empty());
    }
  }

  /**
   * Applies one committed command.
   *
   * @param commandIndex index of the command's entry in the replicated log
   */
  public ApplyResult apply(long commandIndex, Command command) {
    long previousIndex = index;
    index = commandIndex;
    if (command instanceof PublishCommand publish) {
      return applyPublish(previousIndex, publish);
    } else if (command instanceof AnnounceCommand announce) {
      return applyAnnounce(previousIndex, announce.announcement());
    } else if (command instanceof LapseTargetCommand lapse) {
      return applyLapseTarget(previousIndex, lapse);
    } else if (command instanceof IssueOrderCommand issue) {
      return applyIssueOrder(previousIndex, issue);
    } else if (command instanceof EndOrderCommand end) {
      return applyEndOrder(previousIndex, end);
    } else if (command instanceof SteerRolloutCommand steer) {
      return applySteerRollout(previousIndex, steer);
    } else if (command instanceof ClaimRunCommand claim) {
      return ApplyResult.ofAnswer(runs.claim(claim));
    } else if (command instanceof FinishRunCommand finish) {
      return ApplyResult.ofAnswer(FinishRunAnswer.of(runs.finish(finish)));
    } else if (command instanceof DoubtRunsCommand doubt) {
      runs.markInDoubt(doubt);
    } else if (command instanceof NameWeightsCommand named) {
      return applyNameWeights(previousIndex, named.weights());
    } else if (command instanceof EvacuateCommand evacuate) {
      return applyEvacuate(previousIndex, evacuate);
    } else if (command instanceof PruneCommand prune) {
      runs.prune(prune);
    }
    return ApplyResult.unchanged();
  }

  /** Advances the applied index past an entry that holds no command. */
  public void skipEntry(long entryIndex) {
    index = entryIndex;
  }

  private ApplyResult applyPublish(long previousIndex, PublishCommand command) {
    Configuration earlier = configuration();
    PublishAnswer answer = publications.publish(command);
    if (answer.outcome() != PublishOutcome.ACCEPTED) {
      return ApplyResult.ofAnswer(answer);
    }
    List<RolloutRecord> newRollouts =
        rollouts.openRollouts(earlier, configuration(), command.atMillis());
    return new ApplyResult(
        Optional.of(answer),
        Optional.of(
            viewChange(
                previousIndex,
                command.upserts(),
                command.removals(),
                List.of(),
                newRollouts,
                List.of())));
  }

  private ApplyResult applyAnnounce(long previousIndex, Announcement announcement) {
    Optional<TargetRecord> previous = targets.find(announcement.id());
    Optional<TargetRecord> changed = targets.announce(announcement);
    Optional<OrderRecord> lostLoad =
        previous.flatMap(TargetRecord::order).filter(order -> isLoadLost(changed, order));
    Optional<RolloutRecord> rollout =
        lostLoad.flatMap(
            order ->
                rollouts.recordFailure(
                    order.deployment(),
                    order.modelVersion(),
                    announcement.id() + " started again",
                    order.atMillis()));
    return targetChange(previousIndex, changed, rollout.stream().toList());
  }

  private static boolean isLoadLost(Optional<TargetRecord> changed, OrderRecord order) {
    return order.load() && changed.isPresent() && changed.get().order().isEmpty();
  }

  /**
   * Expires a target. If it had loaded a version that is being rolled out, its loss counts as a
   * failure of that rollout.
   */
  private ApplyResult applyLapseTarget(long previousIndex, LapseTargetCommand command) {
    Optional<TargetRecord> changed = targets.expire(command);
    List<RolloutRecord> failedRollouts = new ArrayList<>();
    for (LoadedWeights loaded : loadedWeights(changed)) {
      for (String deployment : rollouts.rollingTo(loaded.modelVersion())) {
        rollouts
            .recordFailure(deployment, loaded.modelVersion(), command.id() + " fell silent", 0)
            .ifPresent(failedRollouts::add);
      }
    }
    return targetChange(previousIndex, changed, failedRollouts);
  }

  private static List<LoadedWeights> loadedWeights(Optional<TargetRecord> record) {
    return record.map(target -> target.announcement().loaded()).orElse(List.of());
  }

  /**
   * Issues an order. The order rules are checked again here because the state may have changed
   * since the leader proposed the order.
   */
  private ApplyResult applyIssueOrder(long previousIndex, IssueOrderCommand command) {
    OrderRecord order = command.order().withSequence(index);
    boolean isRejected =
        OrderRules.rejectionReason(placement(), command.target(), command.incarnation(), order)
            .isPresent();
    return isRejected
        ? ApplyResult.unchanged()
        : targetChange(
            previousIndex,
            Optional.of(targets.setOrder(command.target(), Optional.of(order))),
            List.of());
  }

  private ApplyResult applyEndOrder(long previousIndex, EndOrderCommand command) {
    Optional<OrderRecord> openOrder =
        targets
            .find(command.target())
            .flatMap(TargetRecord::order)
            .filter(order -> order.sequence() == command.sequence());
    if (openOrder.isEmpty()) {
      return ApplyResult.unchanged();
    }
    TargetRecord ended = targets.setOrder(command.target(), Optional.empty());
    Optional<RolloutRecord> rollout = recordLoadOutcome(command, openOrder.get());
    return targetChange(previousIndex, Optional.of(ended), rollout.stream().toList());
  }

  private Optional<RolloutRecord> recordLoadOutcome(EndOrderCommand command, OrderRecord order) {
    if (!order.load() || command.outcome() == OrderOutcome.WITHDRAWN) {
      return Optional.empty();
    }
    if (command.outcome() == OrderOutcome.DONE) {
      return rollouts.recordLoad(order);
    }
    String cause =
        "load at " + command.target() + " " + command.outcome().name().toLowerCase(Locale.ROOT);
    return rollouts.recordFailure(
        order.deployment(), order.modelVersion(), cause, command.atMillis());
  }

  private ApplyResult applyNameWeights(long previousIndex, NamedWeights named) {
    Optional<NamedWeights> changed = weights.recordVersion(named);
    Optional<ViewChange> change =
        changed.map(
            newest ->
                viewChange(
                    previousIndex, List.of(), List.of(), List.of(), List.of(), List.of(newest)));
    long version = weights.newestVersion(named.model());
    return new ApplyResult(Optional.of(NameWeightsAnswer.of(version)), change);
  }

  private ApplyResult applyEvacuate(long previousIndex, EvacuateCommand command) {
    EvacuationTable.Result result = evacuations.apply(command, index);
    Optional<ViewChange> change =
        result
            .changed()
            .map(
                changed ->
                    viewChange(previousIndex, List.of(), List.of(), List.of(), List.of(), List.of())
                        .withEvacuations(List.of(changed)));
    return new ApplyResult(Optional.of(result.answer()), change);
  }

  private ApplyResult applySteerRollout(long previousIndex, SteerRolloutCommand command) {
    RolloutTable.SteerResult result = rollouts.steer(command);
    Optional<ViewChange> change =
        result.isApplied()
            ? Optional.of(
                viewChange(
                    previousIndex,
                    List.of(),
                    List.of(),
                    List.of(),
                    result.record().stream().toList(),
                    List.of()))
            : Optional.empty();
    return new ApplyResult(
        Optional.of(SteerRolloutAnswer.of(result.isApplied(), result.message(), result.record())),
        change);
  }

  private ApplyResult targetChange(
      long previousIndex, Optional<TargetRecord> record, List<RolloutRecord> changedRollouts) {
    return new ApplyResult(
        Optional.empty(),
        record.map(
            target ->
                viewChange(
                    previousIndex,
                    List.of(),
                    List.of(),
                    List.of(target),
                    changedRollouts,
                    List.of())));
  }

  private ViewChange viewChange(
      long previousIndex,
      List<PublishedObject> upserts,
      List<ObjectReference> removals,
      List<TargetRecord> changedTargets,
      List<RolloutRecord> changedRollouts,
      List<NamedWeights> changedWeights) {
    return ViewChange.of(
        previousIndex,
        index,
        configuration().version(),
        upserts,
        removals,
        changedTargets,
        changedRollouts,
        changedWeights,
        List.of());
  }

  /** Returns the configuration, targets and rollouts on which placement decisions are based. */
  public PlacementSnapshot placement() {
    return PlacementSnapshot.of(configuration(), targets.records(), rollouts.byDeployment());
  }

  /** Returns the newest rollout of each deployment, ordered by the deployment's name. */
  public List<RolloutRecord> rollouts() {
    return rollouts.records();
  }

  /** Returns the index of the last applied log entry. */
  public long index() {
    return index;
  }

  public Configuration configuration() {
    return publications.configuration();
  }

  /** Returns the document that was published with the configuration in force, if there was one. */
  public Optional<byte[]> document() {
    return publications.document();
  }

  /** Returns the newest named version of each model's weights. */
  public List<NamedWeights> weights() {
    return weights.records();
  }

  /** Returns the data centres whose evacuation was ordered, with those that ended. */
  public List<Evacuation> evacuations() {
    return evacuations.records();
  }

  /**
   * Returns whether a target, a cache store or an earlier order of an evacuation is recorded for a
   * data centre.
   */
  public boolean isRecordedDataCentre(String name) {
    return evacuations.contains(name)
        || targets.records().stream()
            .anyMatch(record -> record.announcement().dataCentre().equals(name))
        || configuration().objects().stream()
            .anyMatch(
                object -> object instanceof CacheStore store && store.dataCentre().equals(name));
  }

  /** Returns the newest accepted publications, oldest first. */
  public List<PublishRecord> publications() {
    return publications.records();
  }

  public Optional<TargetRecord> target(String id) {
    return targets.find(id);
  }

  public Collection<TargetRecord> targets() {
    return targets.records();
  }

  public Map<RunState, Long> runsByState() {
    return runs.countByState();
  }

  /** Returns the daemons that hold claims, each with its lowest incarnation that holds one. */
  public Map<String, Long> claimOwners() {
    return runs.claimOwners();
  }

  public Optional<RunRecord> run(RunKey key) {
    return runs.find(key);
  }

  /**
   * Returns whether there are more finished runs than the limit, or the one that changed longest
   * ago is past its retention.
   */
  public boolean hasPrunable(PruneCommand command) {
    return runs.hasPrunable(command);
  }

  /** Returns the full view at the last applied index. */
  public FleetView view() {
    return FleetView.of(
        index,
        configuration().version(),
        configuration().objects(),
        List.copyOf(targets.records()),
        rollouts.records(),
        weights.records(),
        evacuations.records());
  }

  /**
   * Returns the state in its stored form.
   *
   * @param term term of the last applied entry
   * @param membership membership at the last applied entry
   */
  public StateSnapshot snapshot(long term, Membership membership) {
    return StateSnapshot.of(
        index,
        term,
        membership,
        configuration().version(),
        configuration().objects(),
        publications.records(),
        List.copyOf(targets.records()),
        runs.records(),
        rollouts.records(),
        publications.document(),
        weights.records(),
        evacuations.records());
  }

  /** Replaces the state with that of a snapshot. */
  public void restore(StateSnapshot snapshot) {
    index = snapshot.index();
    publications.restore(
        Configuration.of(snapshot.configurationVersion(), snapshot.objects()),
        snapshot.document(),
        snapshot.publications());
    targets.restore(snapshot.targets());
    runs.restore(snapshot.runs());
    rollouts.restore(snapshot.rollouts());
    weights.restore(snapshot.weights());
    evacuations.restore(snapshot.evacuations());
  }
}
