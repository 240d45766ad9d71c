package org.geraniumwharf.internal.fleet;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.control.ControlInstance;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.threads.DaemonThreads;
import org.geraniumwharf.internal.transport.PeerLinks;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.ReadIndexAnswer;
import org.geraniumwharf.schema.messages.ReadIndexCall;
import org.geraniumwharf.schema.messages.WatchCall;
import org.geraniumwharf.schema.messages.WatchFreshness;

/**
 * Keeps one watch stream open, first to the local control instance if there is one, and opens
 * others beside it while it has no news; the first that has some is kept. One thread owns the plan
 * and the view; connections are opened by threads of their own, at most one for each instance.
 */
public final class ViewWatcher implements Runnable {

  private static final Duration POLL = Duration.ofMillis(50);
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration READ_PAUSE = Duration.ofMillis(100);
  private static final int MAX_QUEUED_MESSAGES = 16_384;

  private final String self;
  private final ControlDirectory directory;
  private final PeerLinks links;
  private final ControlClient client;
  private final FleetViewHolder holder;
  private final Readiness readiness;
  private final ControlReachability reachability;
  private final EventLog log;
  private final InstantSource clock;
  private final BlockingQueue<Received> queue = new LinkedBlockingQueue<>(MAX_QUEUED_MESSAGES);

  /** Watches that are not given up, and those given up whose connection is still being opened. */
  private final Map<String, Watch> watches = new LinkedHashMap<>();

  private volatile Optional<ControlInstance> local = Optional.empty();

  ViewWatcher(
      String self,
      ControlDirectory directory,
      PeerLinks links,
      ControlClient client,
      FleetViewHolder holder,
      Readiness readiness,
      ControlReachability reachability,
      EventLog log,
      InstantSource clock) {
    this.self = self;
    this.directory = directory;
    this.links = links;
    this.client = client;
    this.holder = holder;
    this.readiness = readiness;
    this.reachability = reachability;
    this.log = log;
    this.clock = clock;
  }

  public void local(ControlInstance instance) {
    local = Optional.of(instance);
  }

  @Override
  public void run() {
    Thread confirming = DaemonThreads.start(this::confirm, "view-confirm");
    WatchPlan plan = WatchPlan.start(clock.instant());
    try {
      while (!Thread.currentThread().isInterrupted()) {
        step(plan);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      confirming.interrupt();
      watches.values().forEach(Watch::giveUp);
    }
  }

  private void step(WatchPlan plan) throws InterruptedException {
    Received received = queue.poll(POLL.toMillis(), TimeUnit.MILLISECONDS);
    if (received != null) {
      handle(plan, received);
    }
    if (queue.isEmpty()) {
      removeEnded(plan);
    }
    boolean hasView = holder.current().index() > 0;
    plan.next(order(), hasView, clock.instant()).ifPresent(name -> start(plan, name));
  }

  /** Own instance first, then the others from a place that differs between daemons. */
  private List<String> order() {
    List<String> names = new ArrayList<>(directory.names());
    List<String> order = new ArrayList<>();
    if (local.isPresent()) {
      names.remove(self);
      order.add(self);
    }
    int start = names.isEmpty() ? 0 : Math.floorMod(self.hashCode(), names.size());
    for (int i = 0; i < names.size(); i++) {
      order.add(names.get((start + i) % names.size()));
    }
    return order;
  }

  private void start(WatchPlan plan, String instance) {
    Watch opening = watches.get(instance);
    if (opening != null && !opening.hasEnded) {
      // Its connection is still being opened.
      plan.ended(instance, clock.instant());
      return;
    }
    Watch watch = new Watch(instance);
    watches.put(instance, watch);
    log.info(
        Event.of("watch-started")
            .with("instance", instance)
            .with("index", holder.current().index()));
    long after = holder.current().index();
    if (instance.equals(self) && local.isPresent()) {
      local.get().watch(after, watch::receive);
    } else {
      DaemonThreads.start(() -> open(watch, after), "view-watch-" + instance);
    }
  }

  private void open(Watch watch, long after) {
    try {
      AutoCloseable stream =
          links.watch(watch.instance, WatchCall.of(self, after), watch::receive, watch::end);
      watch.opened(stream);
    } catch (ConnectException e) {
      reachability.accountedFor(watch.instance, clock.instant());
      watch.end();
    } catch (IOException e) {
      log.info(
          Event.of("watch-failed").with("instance", watch.instance).with("cause", e.getMessage()));
      watch.end();
    } catch (RuntimeException e) {
      log.warn(Event.of("watch-failed").with("instance", watch.instance).with("cause", e));
      watch.end();
    }
  }

  private void handle(WatchPlan plan, Received received) {
    Watch watch = received.watch();
    if (watch.isGivenUp) {
      return;
    }
    Instant freshBefore = holder.freshAt();
    for (String givenUp : apply(plan, received)) {
      Watch other = watches.get(givenUp);
      other.giveUp();
      logEnd(other, "no-news", freshBefore);
    }
  }

  /** Applies a message and returns the instances that are given up for its sender. */
  private List<String> apply(WatchPlan plan, Received received) {
    try {
      holder.watching(received.watch().instance);
      FleetViewHolder.Received applied = holder.apply(received.message(), received.at());
      String instance = received.watch().instance;
      if (applied.isUnconfirmedSinceStart()) {
        reachability.heardUnconfirmed(instance);
        return List.of();
      }
      if (applied.index() < holder.current().index()) {
        return List.of();
      }
      if (received.message() instanceof WatchFreshness freshness) {
        directory.learn(freshness.members());
      }
      reachability.accountedFor(instance, received.at());
      return plan.received(instance, received.at().minus(applied.age()), clock.instant());
    } catch (RuntimeException e) {
      log.warn(Event.of("view-listener-failed").with("cause", e));
      return List.of();
    }
  }

  /** Takes the ends of watches, after every message that they received before. */
  private void removeEnded(WatchPlan plan) {
    List<Watch> ended = watches.values().stream().filter(watch -> watch.hasEnded).toList();
    for (Watch watch : ended) {
      watches.remove(watch.instance);
      if (!watch.isGivenUp) {
        plan.ended(watch.instance, clock.instant());
        logEnd(watch, "closed", holder.freshAt());
      }
    }
  }

  private void logEnd(Watch watch, String cause, Instant freshAt) {
    long newsAge =
        freshAt.equals(Instant.MIN) ? -1 : Duration.between(freshAt, clock.instant()).toMillis();
    log.info(
        Event.of("watch-ended")
            .with("instance", watch.instance)
            .with("cause", cause)
            .with("index", holder.current().index())
            .with("newsAgeMillis", newsAge));
  }

  /** Asks a quorum, until it answers, which index covers every change before the start. */
  private void confirm() {
    try {
      while (!Thread.currentThread().isInterrupted() && !readiness.isConfirmed()) {
        confirmOnce();
        TimeUnit.MILLISECONDS.sleep(READ_PAUSE.toMillis());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void confirmOnce() {
    try {
      ReadIndexAnswer answer =
          client.call(
              ReadIndexCall.of(self), ReadIndexAnswer.class, clock.instant().plus(READ_TIMEOUT));
      readiness.confirmed(answer.index());
      log.info(Event.of("view-confirmed").with("index", answer.index()));
    } catch (ServingException e) {
      log.info(Event.of("view-unconfirmed").with("cause", e.getMessage()));
    } catch (RuntimeException e) {
      log.warn(Event.of("view-unconfirmed").with("cause", e));
    }
  }

  /** A message of a watch and the time of its arrival. */
  private record Received(Watch watch, ControlAnswer message, Instant at) {}

  /** The watch of one instance; ended by the other side, or given up by the watcher's thread. */
  private final class Watch {

    private final String instance;
    private volatile boolean hasEnded;
    private volatile boolean isGivenUp;
    private Optional<AutoCloseable> stream = Optional.empty();

    Watch(String instance) {
      this.instance = instance;
    }

    /** Returns whether the watch goes on. */
    boolean receive(ControlAnswer message) {
      boolean goesOn = !isGivenUp && queue.offer(new Received(this, message, clock.instant()));
      if (!goesOn) {
        hasEnded = true;
      }
      return goesOn;
    }

    void end() {
      hasEnded = true;
    }

    synchronized void opened(AutoCloseable opened) {
      stream = Optional.of(opened);
      if (isGivenUp) {
        closeStream();
      }
    }

    synchronized void giveUp() {
      isGivenUp = true;
      if (instance.equals(self) && local.isPresent()) {
        hasEnded = true;
      }
      closeStream();
    }

    private void closeStream() {
      try {
        if (stream.isPresent()) {
          stream.get().close();
        }
      } catch (Exception e) {
        log.warn(Event.of("watch-close-failed").with("instance", instance).with("cause", e));
      }
    }
  }
}
