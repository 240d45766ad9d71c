package org.geraniumwharf.internal.fleet;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.control.ControlInstance;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.transport.PeerLinks;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.CallFailed;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.ReadIndexAnswer;
import org.geraniumwharf.schema.messages.ReadIndexCall;
import org.geraniumwharf.schema.messages.WatchCall;
import org.geraniumwharf.schema.messages.WatchFreshness;

/**
 * Keeps one watch stream open, to the local control instance if there is one, and moves on to
 * another instance when the stream ends or goes stale.
 */
public final class ViewWatcher implements Runnable {

  private static final Duration STALE = Duration.ofMillis(1500);
  private static final Duration POLL = Duration.ofMillis(200);
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration PAUSE = Duration.ofMillis(100);
  private static final int MAX_QUEUED_MESSAGES = 16_384;
  private static final ControlAnswer END_OF_STREAM = CallFailed.of("", "end of stream", false);

  private final String self;
  private final ControlDirectory directory;
  private final PeerLinks links;
  private final ControlClient client;
  private final FleetViewHolder holder;
  private final Readiness readiness;
  private final ControlReachability reachability;
  private final EventLog log;
  private final InstantSource clock;
  private volatile Optional<ControlInstance> local = Optional.empty();
  private int nextInstance;

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
    try {
      while (!Thread.currentThread().isInterrupted()) {
        List<String> order = order();
        String instance = order.get(nextInstance % order.size());
        nextInstance++;
        watch(instance);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
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

  private void watch(String instance) throws InterruptedException {
    holder.watching(instance);
    BlockingQueue<ControlAnswer> queue = new LinkedBlockingQueue<>(MAX_QUEUED_MESSAGES);
    long after = holder.current().index();
    if (instance.equals(self) && local.isPresent()) {
      WatchToken token = new WatchToken();
      local.get().watch(after, message -> token.isOpen() && queue.offer(message));
      follow(instance, queue);
      token.close();
      return;
    }
    try (AutoCloseable stream =
        links.watch(instance, WatchCall.of(self, after), queue, END_OF_STREAM)) {
      follow(instance, queue);
    } catch (ConnectException e) {
      reachability.accountedFor(instance, clock.instant());
      TimeUnit.MILLISECONDS.sleep(PAUSE.toMillis());
    } catch (IOException e) {
      log.info(Event.of("watch-failed").with("instance", instance).with("cause", e.getMessage()));
      TimeUnit.MILLISECONDS.sleep(PAUSE.toMillis());
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      log.warn(Event.of("watch-failed").with("instance", instance).with("cause", e));
    }
  }

  private void follow(String instance, BlockingQueue<ControlAnswer> queue)
      throws InterruptedException {
    log.info(
        Event.of("watch-started")
            .with("instance", instance)
            .with("index", holder.current().index()));
    Instant lastFresh = clock.instant();
    String cause = "stale";
    while (clock.instant().isBefore(lastFresh.plus(STALE))) {
      ControlAnswer message = queue.poll(POLL.toMillis(), TimeUnit.MILLISECONDS);
      if (message == END_OF_STREAM) {
        cause = "closed";
        TimeUnit.MILLISECONDS.sleep(PAUSE.toMillis());
        break;
      }
      if (message != null) {
        Instant now = clock.instant();
        if (message instanceof WatchFreshness freshness) {
          directory.learn(freshness.members());
        }
        reachability.accountedFor(instance, now);
        if (isFresh(message, now)) {
          lastFresh = now;
        }
      }
      confirmOnce();
    }
    log.info(
        Event.of("watch-ended")
            .with("instance", instance)
            .with("cause", cause)
            .with("index", holder.current().index())
            .with("newsAgeMillis", newsAgeMillis()));
  }

  /** Time since the view was confirmed to be the newest; -1 if it never was. */
  private long newsAgeMillis() {
    Instant freshAt = holder.freshAt();
    return freshAt.equals(Instant.MIN) ? -1 : Duration.between(freshAt, clock.instant()).toMillis();
  }

  /** Applies a message and returns whether it shows that the stream is up to date. */
  private boolean isFresh(ControlAnswer message, Instant now) {
    try {
      FleetViewHolder.Received received = holder.apply(message, now);
      return received.age().compareTo(STALE) < 0 && received.index() >= holder.current().index();
    } catch (RuntimeException e) {
      log.warn(Event.of("view-listener-failed").with("cause", e));
      return true;
    }
  }

  private void confirmOnce() {
    if (readiness.isConfirmed()) {
      return;
    }
    try {
      ReadIndexAnswer answer =
          client.call(
              ReadIndexCall.of(self), ReadIndexAnswer.class, clock.instant().plus(READ_TIMEOUT));
      readiness.confirmed(answer.index());
      log.info(Event.of("view-confirmed").with("index", answer.index()));
    } catch (ServingException e) {
      log.info(Event.of("view-unconfirmed").with("cause", e.getMessage()));
    }
  }

  /** Ends the stream of the local instance, which has no connection to close. */
  private static final class WatchToken {

    private volatile boolean isOpen = true;

    boolean isOpen() {
      return isOpen;
    }

    void close() {
      isOpen = false;
    }
  }
}
