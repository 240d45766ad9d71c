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
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.state.AnnounceCommand;
import org.geraniumwharf.schema.state.ClaimRunCommand;
import org.geraniumwharf.schema.state.Command;
import org.geraniumwharf.schema.state.DoubtRunsCommand;
import org.geraniumwharf.schema.state.EndOrderCommand;
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
 * The whole replicated state. Every replica applies the same commands in the same order and reaches
 * the same state; nothing here reads a clock. Not safe for use by several threads.
 */
public final class ControlState {

  private final PublicationTable publications = new PublicationTable();
  private final TargetTable targets = new TargetTable();
  private final RolloutTable rollouts = new RolloutTable();
  private final RunTable runs = new RunTable();
  private final WeightsTable weights = new WeightsTable();
  private long index;

  private ControlState() {}

  public static ControlState empty() {
    return new ControlState();
  }

  /**
   * What a command changed.
   *
   * @param answer answer to the proposer, if the command has one
   * @param change change of the view, if there is one
   */
  public record ApplyResult(Optional<ControlAnswer> answer, Optional<ViewChange> change) {

    private static ApplyResult ofAnswer(ControlAnswer answer) {
      return new ApplyResult(Optional.of(answer), Optional.empty());
    }

    private static ApplyResult unchanged() {
      return new ApplyResult(Optional.empty(), Optional.empty());
    }
  }

  /** Applies one committed command. */
  public ApplyResult apply(long commandIndex, Command command) {
    long before = index;
    index = commandIndex;
    if (command instanceof PublishCommand publish) {
      return applyPublish(before, publish);
    } else if (command instanceof AnnounceCommand announce) {
      return applyAnnounce(before, announce.announcement());
    } else if (command instanceof LapseTargetCommand lapse) {
      return applyLapseTarget(before, lapse);
    } else if (command instanceof IssueOrderCommand issue) {
      return applyIssueOrder(before, issue);
    } else if (command instanceof EndOrderCommand end) {
      return applyEndOrder(before, end);
    } else if (command instanceof SteerRolloutCommand steer) {
      return applySteerRollout(before, steer);
    } else if (command instanceof ClaimRunCommand claim) {
      return ApplyResult.ofAnswer(runs.claim(claim));
    } else if (command instanceof FinishRunCommand finish) {
      return ApplyResult.ofAnswer(FinishRunAnswer.of(runs.finish(finish)));
    } else if (command instanceof DoubtRunsCommand doubt) {
      runs.markInDoubt(doubt);
    } else if (command instanceof NameWeightsCommand named) {
      return applyNameWeights(before, named.weights());
    } else if (command instanceof PruneCommand prune) {
      runs.prune(prune);
    }
    return ApplyResult.unchanged();
  }

  /** Notes an entry that is no command. */
  public void skipEntry(long entryIndex) {
    index = entryIndex;
  }

  private ApplyResult applyPublish(long before, PublishCommand command) {
    Configuration earlier = configuration();
    PublishAnswer answer = publications.publish(command);
    if (answer.outcome() != PublishOutcome.ACCEPTED) {
      return ApplyResult.ofAnswer(answer);
    }
    List<RolloutRecord> opened =
        rollouts.openRollouts(earlier, configuration(), command.atMillis());
    return new ApplyResult(
        Optional.of(answer),
        Optional.of(
            viewChange(
                before, command.upserts(), command.removals(), List.of(), opened, List.of())));
  }

  private ApplyResult applyAnnounce(long before, Announcement announcement) {
    Optional<TargetRecord> known = targets.find(announcement.id());
    Optional<TargetRecord> changed = targets.announce(announcement);
    Optional<OrderRecord> lost =
        known.flatMap(TargetRecord::order).filter(order -> isLoadLost(changed, order));
    Optional<RolloutRecord> rollout =
        lost.flatMap(
            order ->
                rollouts.recordFailure(
                    order.deployment(),
                    order.modelVersion(),
                    announcement.id() + " started again",
                    order.atMillis()));
    return targetChange(before, changed, rollout.stream().toList());
  }

  private static boolean isLoadLost(Optional<TargetRecord> changed, OrderRecord order) {
    return order.load() && changed.isPresent() && changed.get().order().isEmpty();
  }

  /** A target that falls silent with a version that is being rolled out speaks against it. */
  private ApplyResult applyLapseTarget(long before, LapseTargetCommand command) {
    Optional<TargetRecord> changed = targets.expire(command);
    List<RolloutRecord> counted = new ArrayList<>();
    for (LoadedWeights loaded : loadedWeights(changed)) {
      for (String deployment : rollouts.rollingTo(loaded.modelVersion())) {
        rollouts
            .recordFailure(deployment, loaded.modelVersion(), command.id() + " fell silent", 0)
            .ifPresent(counted::add);
      }
    }
    return targetChange(before, changed, counted);
  }

  private static List<LoadedWeights> loadedWeights(Optional<TargetRecord> record) {
    return record.map(known -> known.announcement().loaded()).orElse(List.of());
  }

  /** The bounds are checked here again, as the state may have changed since the proposal. */
  private ApplyResult applyIssueOrder(long before, IssueOrderCommand command) {
    OrderRecord order = command.order().withSequence(index);
    boolean isRefused =
        OrderRules.rejectionReason(placement(), command.target(), command.incarnation(), order)
            .isPresent();
    return isRefused
        ? ApplyResult.unchanged()
        : targetChange(
            before, Optional.of(targets.setOrder(command.target(), Optional.of(order))), List.of());
  }

  private ApplyResult applyEndOrder(long before, EndOrderCommand command) {
    Optional<OrderRecord> open =
        targets
            .find(command.target())
            .flatMap(TargetRecord::order)
            .filter(order -> order.sequence() == command.sequence());
    if (open.isEmpty()) {
      return ApplyResult.unchanged();
    }
    TargetRecord ended = targets.setOrder(command.target(), Optional.empty());
    Optional<RolloutRecord> rollout = recordLoadOutcome(command, open.get());
    return targetChange(before, Optional.of(ended), rollout.stream().toList());
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

  private ApplyResult applyNameWeights(long before, NamedWeights named) {
    Optional<NamedWeights> changed = weights.recordVersion(named);
    Optional<ViewChange> change =
        changed.map(
            newest ->
                viewChange(before, List.of(), List.of(), List.of(), List.of(), List.of(newest)));
    long version = weights.newestVersion(named.model());
    return new ApplyResult(Optional.of(NameWeightsAnswer.of(version)), change);
  }

  private ApplyResult applySteerRollout(long before, SteerRolloutCommand command) {
    RolloutTable.SteerResult steered = rollouts.steer(command);
    Optional<ViewChange> change =
        steered.isApplied()
            ? Optional.of(
                viewChange(
                    before,
                    List.of(),
                    List.of(),
                    List.of(),
                    steered.record().stream().toList(),
                    List.of()))
            : Optional.empty();
    return new ApplyResult(
        Optional.of(
            SteerRolloutAnswer.of(steered.isApplied(), steered.message(), steered.record())),
        change);
  }

  private ApplyResult targetChange(
      long before, Optional<TargetRecord> record, List<RolloutRecord> changedRollouts) {
    return new ApplyResult(
        Optional.empty(),
        record.map(
            target ->
                viewChange(
                    before, List.of(), List.of(), List.of(target), changedRollouts, List.of())));
  }

  private ViewChange viewChange(
      long before,
      List<PublishedObject> upserts,
      List<ObjectReference> removals,
      List<TargetRecord> changedTargets,
      List<RolloutRecord> changedRollouts,
      List<NamedWeights> changedWeights) {
    return ViewChange.of(
        before,
        index,
        configuration().version(),
        upserts,
        removals,
        changedTargets,
        changedRollouts,
        changedWeights);
  }

  /** Returns what placement decides by. */
  public PlacementSnapshot placement() {
    return PlacementSnapshot.of(configuration(), targets.records(), rollouts.byDeployment());
  }

  public List<RolloutRecord> rollouts() {
    return rollouts.records();
  }

  public long index() {
    return index;
  }

  public Configuration configuration() {
    return publications.configuration();
  }

  /** Returns the document that the set in force came with. */
  public Optional<byte[]> document() {
    return publications.document();
  }

  /** Returns the newest named version of each model's weights. */
  public List<NamedWeights> weights() {
    return weights.records();
  }

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

  /** Returns the daemons that hold claims, each with its oldest incarnation that does. */
  public Map<String, Long> claimOwners() {
    return runs.claimOwners();
  }

  public Optional<RunRecord> run(RunKey key) {
    return runs.find(key);
  }

  /** Tells whether a prune would drop anything. */
  public boolean hasPrunable(PruneCommand command) {
    return runs.hasPrunable(command);
  }

  public FleetView view() {
    return FleetView.of(
        index,
        configuration().version(),
        configuration().objects(),
        List.copyOf(targets.records()),
        rollouts.records(),
        weights.records());
  }

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
        weights.records());
  }

  /** Replaces the whole state. */
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
  }
}
