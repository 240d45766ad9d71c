package org.geraniumwharf.keptcache;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * What one daemon observed of the links to the stores: their rate, the bytes under way, and stores
 * that failed lately. Its lock is innermost.
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

  /** Estimates how long a transfer would take behind what is already under way, ms. */
  public synchronized double expectedMillis(String store, long bytes) {
    Link link = link(store);
    return (link.bytesInFlight + bytes) / link.bytesPerMilli;
  }

  /** Tells whether a store is worth asking: it has not failed within the last two seconds. */
  public synchronized boolean isUsable(String store, Instant now) {
    return !now.isBefore(link(store).backoffUntil);
  }

  public synchronized void recordStart(String store, long bytes) {
    link(store).bytesInFlight += bytes;
  }

  /**
   * Takes part of the budget for an export; imports on a caller's path are never bounded by it.
   *
   * @return false when the link has enough to do
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
