package org.geraniumwharf.internal.replica;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.geraniumwharf.control.ControlOptions;
import org.geraniumwharf.internal.state.ControlState;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.DaemonStatus;
import org.geraniumwharf.schema.messages.HeartbeatCall;
import org.geraniumwharf.schema.objects.Deployment;
import org.geraniumwharf.schema.objects.Model;
import org.geraniumwharf.schema.objects.ModelVersion;
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.objects.WeightStore;
import org.geraniumwharf.schema.state.AnnounceCommand;
import org.geraniumwharf.schema.state.Command;
import org.geraniumwharf.schema.state.IssueOrderCommand;
import org.geraniumwharf.schema.state.LapseTargetCommand;
import org.geraniumwharf.schema.state.OrderRecord;
import org.geraniumwharf.schema.state.PublishCommand;
import org.geraniumwharf.schema.state.RolloutAction;
import org.geraniumwharf.schema.state.RolloutState;
import org.geraniumwharf.schema.state.SteerRolloutCommand;
import org.geraniumwharf.schema.state.TargetRecord;

/**
 * A seeded random schedule for the real placement loop and the real replicated state. Engines crash
 * and ignore fencing numbers, daemons answer late and from views as old as the bound allows, the
 * leader changes while commands of the previous one are not yet applied, and operators publish,
 * pause, resume and undo.
 */
final class PlacementSchedule {

  private static final int STEP_MILLIS = 100;
  private static final int MAX_VIEW_AGE_MILLIS = 1000;
  private static final int MAX_ANSWER_DELAY_MILLIS = 800;
  private static final int MAX_LOADS = 2;
  private static final int SWAP_FLOOR = 2;
  private static final int ENGINE_COUNT = 5;
  private static final List<String> VERSIONS = List.of("v1", "v2", "v3");
  private static final ControlOptions OPTIONS =
      new ControlOptions(
          "control-1",
          List.of("control-1"),
          Path.of("unused"),
          Duration.ofMillis(50),
          Duration.ofMillis(300),
          1000,
          Duration.ofSeconds(5),
          Duration.ofSeconds(5),
          Duration.ofHours(1),
          1000,
          ControlOptions.MEMBERS_BY_OPERATORS,
          Instant.EPOCH);

  private final SplittableRandom random;
  private final ControlState state = ControlState.empty();
  private final List<SimulatedEngine> engines = new ArrayList<>();
  private final Deque<View> views = new ArrayDeque<>();
  private final List<DelayedAnswer> answers = new ArrayList<>();
  private final List<Command> proposed = new ArrayList<>();
  private PlacementDuty duty = newDuty();
  private Instant now = Instant.EPOCH.plusSeconds(1000);
  private long index;
  private long term = 1;
  private int publications;
  private long orders;

  private record View(Instant at, List<TargetRecord> targets) {}

  private record DelayedAnswer(
      Instant due, SimulatedEngine engine, long start, OrderRecord order) {}

  private PlacementSchedule(long seed) {
    random = new SplittableRandom(seed);
    for (int i = 1; i <= ENGINE_COUNT; i++) {
      engines.add(new SimulatedEngine("engine-" + i, "v1", 1 + i % 2));
    }
  }

  private static PlacementDuty newDuty() {
    return new PlacementDuty(OPTIONS, EventLog.none());
  }

  /** Runs one schedule and returns the number of orders that were issued. */
  static long run(long seed) {
    PlacementSchedule schedule = new PlacementSchedule(seed);
    schedule.publish("v1");
    schedule.duty.startLeadership(schedule.now);
    for (int i = 0; i < 900; i++) {
      schedule.injectRandomEvents();
      schedule.step();
    }
    schedule.checkConvergence();
    return schedule.orders;
  }

  private void injectRandomEvents() {
    if (random.nextInt(150) == 0) {
      publish(VERSIONS.get(random.nextInt(VERSIONS.size())));
    }
    if (random.nextInt(120) == 0) {
      RolloutAction[] actions = {RolloutAction.PAUSE, RolloutAction.RESUME, RolloutAction.UNDO};
      apply(SteerRolloutCommand.of("drafting", actions[random.nextInt(3)], "someone", millis()));
    }
    if (random.nextInt(100) == 0) {
      changeLeader();
    }
    if (random.nextInt(200) == 0) {
      engines.get(random.nextInt(ENGINE_COUNT)).restart(random.nextBoolean());
    }
  }

  /** Replaces the leader; commands proposed by the previous one may still be applied. */
  private void changeLeader() {
    proposed.addAll(tick(duty));
    term++;
    duty = newDuty();
    duty.startLeadership(now);
  }

  private void publish(String version) {
    publications++;
    List<PublishedObject> objects = new ArrayList<>();
    objects.add(WeightStore.of("weights", MAX_LOADS, 3000));
    objects.add(Model.of("drafter", 16, 4, 16_384));
    VERSIONS.forEach(
        name -> objects.add(ModelVersion.of(name, "drafter", "weights", "0".repeat(16))));
    objects.add(
        Deployment.of("drafting", version, List.of(), 1, 10, List.of(), Optional.of(SWAP_FLOOR)));
    apply(
        PublishCommand.of(
            "publish-" + publications,
            "someone",
            state.configuration().version(),
            "digest-" + publications,
            objects,
            List.of(),
            millis(),
            Optional.empty(),
            Optional.empty()));
  }

  private void step() {
    now = now.plusMillis(STEP_MILLIS);
    engines.forEach(engine -> engine.advance(random, now));
    engines.forEach(this::announce);
    deliverAnswers();
    proposed.addAll(tick(duty));
    applyProposed();
    views.addLast(new View(now, List.copyOf(state.targets())));
    views.removeIf(view -> view.at().isBefore(now.minusMillis(MAX_VIEW_AGE_MILLIS)));
  }

  /** Applies proposals after a delay of some rounds, during which the leader keeps planning. */
  private void applyProposed() {
    if (random.nextInt(3) > 0) {
      List<Command> committed = List.copyOf(proposed);
      proposed.clear();
      committed.forEach(this::apply);
    }
  }

  private List<Command> tick(PlacementDuty leader) {
    leader.recordDemand(
        HeartbeatCall.of(
            DaemonStatus.of("daemon-1", 1, "dc-1", 1, 1, true, false, "-"),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            Optional.empty()));
    return leader.tick(state, term, Duration.ZERO, () -> Set.of("daemon-1"), now);
  }

  /** Announces an engine, which is answered from a view that may be stale. */
  private void announce(SimulatedEngine engine) {
    Optional<TargetRecord> target = state.target(engine.id());
    if (engine.isUnresponsive(now)) {
      target
          .filter(record -> !record.lapsed())
          .map(TargetRecord::announcement)
          .filter(last -> engine.isUnresponsiveFor(now, OPTIONS.targetLease()))
          .ifPresent(
              last -> apply(LapseTargetCommand.of(last.id(), last.incarnation(), last.sequence())));
      return;
    }
    apply(AnnounceCommand.of(engine.announcement()));
    if (views.isEmpty()) {
      return;
    }
    View view = List.copyOf(views).get(random.nextInt(views.size()));
    view.targets().stream()
        .filter(record -> record.announcement().id().equals(engine.id()))
        .filter(record -> record.announcement().incarnation() == engine.incarnation())
        .flatMap(record -> record.order().stream())
        .forEach(
            order ->
                answers.add(
                    new DelayedAnswer(
                        now.plusMillis(random.nextInt(MAX_ANSWER_DELAY_MILLIS)),
                        engine,
                        engine.incarnation(),
                        order)));
  }

  private void deliverAnswers() {
    for (DelayedAnswer answer : List.copyOf(answers)) {
      if (!now.isBefore(answer.due())) {
        answers.remove(answer);
        if (answer.engine().incarnation() == answer.start()) {
          answer.engine().receiveOrder(answer.order(), random, now);
        }
      }
    }
  }

  private void apply(Command command) {
    index++;
    if (command instanceof IssueOrderCommand issue) {
      applyIssue(issue);
    } else {
      state.apply(index, command);
    }
  }

  private void applyIssue(IssueOrderCommand issue) {
    int before = state.placement().servingCount(deployment());
    boolean isIssued = state.apply(index, issue).change().isPresent();
    int after = state.placement().servingCount(deployment());
    long loads =
        state.targets().stream()
            .flatMap(record -> record.order().stream())
            .filter(OrderRecord::load)
            .count();
    assertTrue(loads <= MAX_LOADS, () -> loads + " loads at once");
    assertTrue(after >= before || after >= SWAP_FLOOR, () -> "order left " + after + " serving");
    orders += isIssued ? 1 : 0;
  }

  private Deployment deployment() {
    return state.configuration().deployment("drafting").orElseThrow();
  }

  /** Checks that every engine reaches the wanted version once no more faults are injected. */
  private void checkConvergence() {
    apply(SteerRolloutCommand.of("drafting", RolloutAction.RESUME, "someone", millis()));
    engines.forEach(SimulatedEngine::heal);
    for (int i = 0; i < 1200 && !isConverged(); i++) {
      apply(SteerRolloutCommand.of("drafting", RolloutAction.RESUME, "someone", millis()));
      step();
    }
    assertTrue(isConverged(), () -> "not converged: " + state.rollouts() + state.targets());
  }

  private boolean isConverged() {
    String wanted = state.placement().wantedVersion(deployment());
    boolean isDone =
        state.rollouts().stream().allMatch(rollout -> rollout.state() == RolloutState.DONE);
    boolean isSettled = state.targets().stream().allMatch(record -> record.order().isEmpty());
    boolean isHeldSomewhere = state.placement().holdingCount(deployment()) >= 1;
    boolean holdsOnlyWanted =
        engines.stream()
            .allMatch(engine -> engine.loadedVersions().stream().allMatch(wanted::equals));
    return isDone && isSettled && isHeldSomewhere && holdsOnlyWanted;
  }

  private long millis() {
    return now.toEpochMilli();
  }
}
