package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Replays a load pattern against the queue of one instance, in steps of 1 ms of its own time. The
 * targets are a number of slots; a request occupies one for a time that grows with its work.
 */
final class QueueReplay {

  private static final Instant START = Instant.ofEpochSecond(10_000);
  private static final int WOKEN = 8;
  private static final double LATE_VALUE = 0.2;

  /** What a caller does after a refusal. */
  enum Caller {
    /** Retries once after the stated time. */
    RETRIES_ONCE,
    /** Retries after 20 ms, up to 30 times. */
    RETRIES_AT_ONCE,
    /** Disconnects after 150 ms, and retries once after a refusal. */
    LEAVES_EARLY
  }

  /** Requests of one kind and organisation. */
  record Stream(
      String kind,
      String organisation,
      String key,
      int priority,
      int tokens,
      int goalMillis,
      int timeoutMillis,
      Caller caller,
      DoubleUnaryOperator perSecond) {}

  private static final class Call {
    final Stream stream;
    final double work;
    final long firstAt;
    final long at;
    final int attempt;
    final Tally tally;
    final String id;

    Call(Stream stream, double work, long firstAt, long at, int attempt, Tally tally, String id) {
      this.stream = stream;
      this.work = work;
      this.firstAt = firstAt;
      this.at = at;
      this.attempt = attempt;
      this.tally = tally;
      this.id = id;
    }

    long deadline() {
      return firstAt + stream.timeoutMillis();
    }

    RequestProfile profile() {
      return new RequestProfile(
          stream.organisation(),
          stream.kind(),
          stream.key(),
          stream.priority(),
          0,
          Math.round(work),
          work,
          START.plusMillis(at + stream.goalMillis()),
          START.plusMillis(deadline()),
          true);
    }
  }

  /** Result of the requests of one stream, or of its large ones. */
  static final class Tally {
    int offered;
    int inGoal;
    int late;
    int attempts;
    int lateRefusals;
    long refusalWait;
    int slotMillis;

    void add(Tally other) {
      offered += other.offered;
      inGoal += other.inGoal;
      late += other.late;
      attempts += other.attempts;
      lateRefusals += other.lateRefusals;
      refusalWait += other.refusalWait;
      slotMillis += other.slotMillis;
    }

    double inGoalShare() {
      return (double) inGoal / Math.max(1, offered);
    }

    double servedShare() {
      return (double) (inGoal + late) / Math.max(1, offered);
    }

    double value() {
      return (inGoal + LATE_VALUE * late) / Math.max(1, offered);
    }

    @Override
    public String toString() {
      return String.format(
          "offered %d, in goal %.3f, served %.3f, value %.3f, attempts %d, late refusals %d, waited for refusals %d ms",
          offered, inGoalShare(), servedShare(), value(), attempts, lateRefusals, refusalWait);
    }
  }

  private record Running(long endsAt, long startedAt, Call call) {}

  private final Supplier<RelayQueue<Call>> queues;
  private final boolean isFair;
  private final int slots;
  private final double millisPerWork;
  private final Map<String, Tally> byStream = new HashMap<>();
  private final Map<String, Tally> largeByKind = new HashMap<>();
  private final Tally all = new Tally();

  private RelayQueue<Call> queue;
  private Random random;
  private PriorityQueue<Running> running;
  private PriorityQueue<Call> arrivals;
  private Map<Call, RelayQueue.Entry<Call>> queued;
  private long outageUntil;

  private QueueReplay(
      Supplier<RelayQueue<Call>> queues, boolean isFair, int slots, double millisPerWork) {
    this.queues = queues;
    this.isFair = isFair;
    this.slots = slots;
    this.millisPerWork = millisPerWork;
  }

  static QueueReplay byArrival(int slots, double millisPerWork) {
    return new QueueReplay(RelayQueue::create, false, slots, millisPerWork);
  }

  static QueueReplay fair(int slots, double millisPerWork) {
    return new QueueReplay(RelayQueue::fair, true, slots, millisPerWork);
  }

  /**
   * Plays the streams once for each seed and adds up the results.
   *
   * @param outageMillis time at the start in which nothing is dispatched
   */
  QueueReplay play(List<Stream> streams, int seconds, int outageMillis, int seeds) {
    for (int seed = 1; seed <= seeds; seed++) {
      queue = queues.get();
      random = new Random(seed);
      running = new PriorityQueue<>(Comparator.comparingLong(Running::endsAt));
      arrivals = new PriorityQueue<>(Comparator.comparingLong((Call call) -> call.at));
      queued = new HashMap<>();
      outageUntil = outageMillis;
      addArrivals(streams, seconds * 1000);
      for (long now = 0; now < (seconds + 16) * 1000L; now++) {
        step(now);
      }
    }
    return this;
  }

  private void addArrivals(List<Stream> streams, int millis) {
    for (Stream stream : streams) {
      Tally tally = byStream.computeIfAbsent(nameOf(stream), name -> new Tally());
      for (int at = 0; at < millis; at++) {
        if (random.nextDouble() < stream.perSecond().applyAsDouble(at) / 1000) {
          double size = random.nextInt(10) == 0 ? 2 : 0.6 + 0.6 * random.nextDouble();
          Tally part = new Tally();
          part.offered = 1;
          Call call =
              new Call(stream, stream.tokens() * size, at, at, 0, part, "id-" + random.nextLong());
          arrivals.add(call);
          parts.add(new Part(tally, stream.kind(), size == 2, part));
        }
      }
    }
  }

  private record Part(Tally stream, String kind, boolean isLarge, Tally tally) {}

  private final List<Part> parts = new ArrayList<>();

  private static String nameOf(Stream stream) {
    return stream.kind() + " of " + stream.organisation();
  }

  private void step(long millis) {
    Instant now = START.plusMillis(millis);
    while (!running.isEmpty() && running.peek().endsAt() <= millis) {
      end(running.remove(), millis, now);
    }
    while (!arrivals.isEmpty() && arrivals.peek().at <= millis) {
      arrive(arrivals.remove(), millis, now);
    }
    leave(millis, now);
    if (millis == outageUntil) {
      dispatchQueued(millis, now);
    }
  }

  private boolean isSlotFree(long millis) {
    return millis >= outageUntil && running.size() < slots;
  }

  private void arrive(Call call, long millis, Instant now) {
    call.tally.attempts++;
    if (!queue.mustQueue(call.profile(), now) && isSlotFree(millis)) {
      send(call, millis, now);
      return;
    }
    RelayQueue.Admission<Call> admission = queue.offer(call, call.profile(), now);
    for (RelayQueue.Entry<Call> displaced : admission.displaced()) {
      queued.remove(displaced.item());
      displaced.item().tally.lateRefusals++;
      refuse(displaced.item(), queue.drainTime(now), millis, now);
    }
    if (admission.entry().isEmpty()) {
      Duration drain = queue.drainTime(now);
      Duration wait = admission.expectedWait();
      refuse(call, isFair && drain.compareTo(wait) > 0 ? drain : wait, millis, now);
    } else {
      queued.put(call, admission.entry().get());
    }
  }

  private void refuse(Call call, Duration expected, long millis, Instant now) {
    queue.recordRefused(call.profile(), now);
    call.tally.refusalWait += millis - call.at;
    Duration remaining = Duration.ofMillis(call.deadline() - millis);
    long delay =
        isFair
            ? RetryAfter.spreadDelay(call.id, expected, remaining, Duration.ofMillis(50)).toMillis()
            : RetryAfter.jitteredDelay(call.id, expected, remaining).toMillis();
    boolean isAtOnce = call.stream.caller() == Caller.RETRIES_AT_ONCE;
    long next = millis + (isAtOnce ? 20 : Math.max(1, delay));
    if (call.attempt < (isAtOnce ? 30 : 1) && next < call.deadline()) {
      arrivals.add(
          new Call(
              call.stream, call.work, call.firstAt, next, call.attempt + 1, call.tally, call.id));
    }
  }

  private void leave(long millis, Instant now) {
    for (Map.Entry<Call, RelayQueue.Entry<Call>> waiting : List.copyOf(queued.entrySet())) {
      Call call = waiting.getKey();
      boolean isGone = call.stream.caller() == Caller.LEAVES_EARLY && millis >= call.at + 150;
      boolean isExpired = !now.isBefore(waiting.getValue().expiresAt());
      if (isGone || isExpired) {
        queue.remove(waiting.getValue());
        queued.remove(call);
      }
      if (isExpired && !isGone) {
        call.tally.lateRefusals++;
        refuse(call, isFair ? queue.drainTime(now) : Duration.ofMillis(700), millis, now);
      }
    }
  }

  private void send(Call call, long millis, Instant now) {
    queue.recordDispatched(call.profile(), now);
    double noise = 0.8 + 0.4 * random.nextDouble();
    long time = Math.max(1, Math.round((10 + call.work * millisPerWork) * noise));
    call.tally.slotMillis += (int) time;
    running.add(new Running(millis + time, millis, call));
  }

  private void end(Running ended, long millis, Instant now) {
    Call call = ended.call();
    Duration time = Duration.ofMillis(millis - ended.startedAt());
    queue.recordEnded(call.work, now);
    queue.recordFirstResponse(call.profile(), time);
    queue.recordResponse(call.profile(), time);
    boolean isGone = call.stream.caller() == Caller.LEAVES_EARLY && millis >= call.at + 150;
    if (!isGone && millis <= call.firstAt + call.stream.goalMillis()) {
      call.tally.inGoal++;
    } else if (!isGone && millis <= call.deadline()) {
      call.tally.late++;
    }
    dispatchQueued(millis, now);
  }

  private void dispatchQueued(long millis, Instant now) {
    for (RelayQueue.Entry<Call> entry : queue.first(WOKEN, now)) {
      if (!isSlotFree(millis)) {
        return;
      }
      queue.remove(entry);
      queued.remove(entry.item());
      send(entry.item(), millis, now);
    }
  }

  /** Returns the result of the streams that fit. */
  Tally result(List<Stream> streams, Predicate<Stream> filter) {
    collect();
    Tally sum = new Tally();
    streams.stream().filter(filter).forEach(stream -> sum.add(byStream.get(nameOf(stream))));
    return sum;
  }

  Tally all() {
    collect();
    return all;
  }

  /** Returns the result of the largest tenth of a kind. */
  Tally large(String kind) {
    collect();
    return Optional.ofNullable(largeByKind.get(kind)).orElseGet(Tally::new);
  }

  private void collect() {
    for (Part part : parts) {
      part.stream().add(part.tally());
      all.add(part.tally());
      if (part.isLarge()) {
        largeByKind.computeIfAbsent(part.kind(), name -> new Tally()).add(part.tally());
      }
    }
    parts.clear();
  }
}
