package org.geraniumwharf.keptcache;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * The links to the cache stores as observed by one daemon: transfer rates, bytes in flight, and
 * stores in backoff after a failure. Thread-safe; its lock is innermost.
 */
public final class LinkTable {

  private static final double INITIAL_BYTES_PER_MILLI = 1_000_000;
  private static final double RATE_GAIN = 0.3;
  private static final Duration BACKOFF_AFTER_FAILURE = Duration.ofSeconds(2);
  private static final long MAX_EXPORT_BYTES_IN_FLIGHT = 1L << 30;

  private final Map<String, Link> links = new HashMap<>();

  private LinkTable() {}

  public static LinkTable create() {
    return new LinkTable();
  }

  /** Returns the expected duration of a transfer behind those already in flight, ms. */
  public synchronized double expectedMillis(String store, long bytes) {
    Link link = link(store);
    return (link.bytesInFlight + bytes) / link.bytesPerMilli;
  }

  /** Returns whether a store may be queried: it has not failed within the last two seconds. */
  public synchronized boolean isUsable(String store, Instant now) {
    return !now.isBefore(link(store).backoffUntil);
  }

  public synchronized void recordStart(String store, long bytes) {
    link(store).bytesInFlight += bytes;
  }

  /**
   * Records the start of an export unless the link is busy. Imports are not bounded in this way,
   * since a caller waits for them.
   *
   * @return false when other transfers are in flight and their sum would exceed the bound
   */
  public synchronized boolean tryStartExport(String store, long bytes) {
    Link link = link(store);
    if (link.bytesInFlight > 0 && link.bytesInFlight + bytes > MAX_EXPORT_BYTES_IN_FLIGHT) {
      return false;
    }
    link.bytesInFlight += bytes;
    return true;
  }

  public synchronized void recordFinish(String store, long bytes, Duration duration) {
    Link link = link(store);
    link.bytesInFlight = Math.max(0, link.bytesInFlight - bytes);
    double rate = (double) bytes / Math.max(1, duration.toMillis());
    link.bytesPerMilli += RATE_GAIN * (rate - link.bytesPerMilli);
    link.bytesMoved += bytes;
  }

  public synchronized void recordFailure(String store, long bytes, Instant now) {
    Link link = link(store);
    link.bytesInFlight = Math.max(0, link.bytesInFlight - bytes);
    link.backoffUntil = now.plus(BACKOFF_AFTER_FAILURE);
  }

  /** Returns the bytes moved over all links. */
  public synchronized long bytesMoved() {
    return links.values().stream().mapToLong(link -> link.bytesMoved).sum();
  }

  private Link link(String store) {
    return links.computeIfAbsent(store, name -> new Link());
  }

  private static final class Link {
    private double bytesPerMilli = INITIAL_BYTES_PER_MILLI;
    private long bytesInFlight;
    private long bytesMoved;
    private Instant backoffUntil = Instant.MIN;
  }
}
