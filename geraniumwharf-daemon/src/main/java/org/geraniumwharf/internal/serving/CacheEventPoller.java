package org.geraniumwharf.internal.serving;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.target.CacheEventClient;
import org.geraniumwharf.internal.target.TargetCallException;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.prefix.PieceName;
import org.geraniumwharf.routing.RoutableTarget;
import org.geraniumwharf.routing.TargetLoadTable;
import org.geraniumwharf.schema.targets.CacheEvents;

/**
 * Polls each engine for changes of its prefix cache and applies them to the load table, in order
 * and with one request per engine at a time. After a gap in the event sequence, the cached pieces
 * recorded for the engine are discarded and collected again.
 */
public final class CacheEventPoller implements Runnable {

  private static final Duration INTERVAL = Duration.ofMillis(500);
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final FleetViewHolder fleet;
  private final CacheEventClient client;
  private final TargetLoadTable load;
  private final Executor workers;
  private final EventLog log;
  private final Map<String, Position> positions = new ConcurrentHashMap<>();

  private CacheEventPoller(
      FleetViewHolder fleet,
      CacheEventClient client,
      TargetLoadTable load,
      Executor workers,
      EventLog log) {
    this.fleet = fleet;
    this.client = client;
    this.load = load;
    this.workers = workers;
    this.log = log;
  }

  public static CacheEventPoller create(
      FleetViewHolder fleet,
      CacheEventClient client,
      TargetLoadTable load,
      Executor workers,
      EventLog log) {
    return new CacheEventPoller(fleet, client, load, workers, log);
  }

  /** Next sequence number of one engine, and whether a poll is in progress. */
  private static final class Position {
    private long nextSequence;
    private boolean isPolling;
  }

  @Override
  public void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        List<RoutableTarget> engines = fleet.current().cachingEngines();
        engines.forEach(this::pollIfIdle);
        positions
            .keySet()
            .removeIf(id -> engines.stream().noneMatch(engine -> engine.id().equals(id)));
        TimeUnit.MILLISECONDS.sleep(INTERVAL.toMillis());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void pollIfIdle(RoutableTarget engine) {
    Position position = positions.computeIfAbsent(engine.id(), id -> new Position());
    synchronized (position) {
      if (position.isPolling) {
        return;
      }
      position.isPolling = true;
    }
    workers.execute(() -> poll(engine, position));
  }

  private void poll(RoutableTarget engine, Position position) {
    long next;
    synchronized (position) {
      next = position.nextSequence;
    }
    try {
      CacheEvents events = client.cacheEvents(engine, next, TIMEOUT);
      next = apply(engine, next, events);
    } catch (TargetCallException e) {
      log.info(
          Event.of("cache-events-failed")
              .with("engine", engine.id())
              .with("cause", e.getMessage()));
    } finally {
      synchronized (position) {
        position.nextSequence = next;
        position.isPolling = false;
      }
    }
  }

  private long apply(RoutableTarget engine, long requested, CacheEvents events) {
    if (events.from() != requested) {
      load.clearCachedPieces(engine.id());
      log.info(
          Event.of("cache-events-gap")
              .with("engine", engine.id())
              .with("asked", requested)
              .with("from", events.from()));
    }
    load.updateCachedPieces(
        engine.id(),
        events.stored().stream().map(PieceName::parse).toList(),
        events.removed().stream().map(PieceName::parse).toList());
    return events.to();
  }
}
