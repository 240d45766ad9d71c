package org.geraniumwharf.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumwharf.admission.TokenBucket;

/**
 * Permits of one limited target and the requests of the entries that wait for them, in the order in
 * which they were reported. Permits that no waiting request needs go to entries that expect
 * requests. Not thread-safe.
 */
final class PermitQueue {

  /** Time for which unused permits accumulate after the first. */
  private static final Duration BURST = Duration.ofMillis(600);

  /** Time for which permits are kept for requests that wait, before entries get them in advance. */
  private static final Duration RESERVE = Duration.ofMillis(300);

  /** Time after its last report from which an entry no longer waits. */
  private static final Duration REPORT_VALIDITY = Duration.ofMillis(700);

  private static final double NANOS_PER_SECOND = 1e9;

  private final TokenBucket bucket;
  private final Map<String, Instant> reportedAt = new HashMap<>();
  private List<Place> places = new ArrayList<>();
  private double requestsPerSecond;

  /** Some requests of one entry that wait one behind the other. */
  private record Place(String entry, int requests) {}

  private PermitQueue(double requestsPerSecond, Instant now) {
    this.requestsPerSecond = requestsPerSecond;
    this.bucket = TokenBucket.empty(requestsPerSecond, burst(requestsPerSecond), now);
  }

  static PermitQueue create(double requestsPerSecond, Instant now) {
    return new PermitQueue(requestsPerSecond, now);
  }

  void changeRate(double newRequestsPerSecond, Instant now) {
    requestsPerSecond = newRequestsPerSecond;
    bucket.changeRate(newRequestsPerSecond, burst(newRequestsPerSecond), now);
  }

  private static Duration burst(double requestsPerSecond) {
    return BURST.plusNanos((long) (NANOS_PER_SECOND / requestsPerSecond));
  }

  /**
   * Issues permits to an entry.
   *
   * @param waiting requests of the entry that wait now
   * @param expected requests that the entry expects besides
   */
  int issue(String entry, int waiting, int expected, Instant now) {
    reportedAt.put(entry, now);
    removeSilentEntries(now);
    replaceWaiting(entry, waiting);
    double available = bucket.available(now);
    int ahead = 0;
    int issued = 0;
    List<Place> left = new ArrayList<>();
    for (Place place : places) {
      int served =
          place.entry().equals(entry)
              ? Math.min(place.requests(), Math.max(0, (int) available - ahead))
              : 0;
      issued += served;
      ahead += place.requests();
      add(left, place.entry(), place.requests() - served);
    }
    places = left;
    double spare = available - ahead - requestsPerSecond * RESERVE.toNanos() / NANOS_PER_SECOND;
    issued += Math.max(0, Math.min(expected, (int) spare));
    bucket.tryConsume(issued, now);
    return issued;
  }

  private void removeSilentEntries(Instant now) {
    reportedAt.values().removeIf(time -> now.isAfter(time.plus(REPORT_VALIDITY)));
    Set<String> reporting = reportedAt.keySet();
    places =
        places.stream()
            .filter(place -> reporting.contains(place.entry()))
            .collect(Collectors.toCollection(ArrayList::new));
  }

  /** Keeps the places of the requests that go on waiting and adds those of new ones at the end. */
  private void replaceWaiting(String entry, int waiting) {
    List<Place> kept = new ArrayList<>();
    int left = waiting;
    for (Place place : places) {
      boolean isOwn = place.entry().equals(entry);
      int requests = isOwn ? Math.min(left, place.requests()) : place.requests();
      left -= isOwn ? requests : 0;
      add(kept, place.entry(), requests);
    }
    add(kept, entry, left);
    places = kept;
  }

  private static void add(List<Place> list, String entry, int requests) {
    if (requests > 0) {
      list.add(new Place(entry, requests));
    }
  }

  /** Returns the time until a request that an entry adds would get a permit. */
  Duration wait(String entry, Instant now) {
    int ofOthers =
        places.stream()
            .filter(place -> !place.entry().equals(entry))
            .mapToInt(Place::requests)
            .sum();
    return waitBehind(ofOthers, now);
  }

  /** Returns the time until the first request of an entry would get a permit. */
  Duration firstWait(String entry, Instant now) {
    int ahead =
        places.stream()
            .takeWhile(place -> !place.entry().equals(entry))
            .mapToInt(Place::requests)
            .sum();
    return waitBehind(ahead, now);
  }

  private Duration waitBehind(int requests, Instant now) {
    double missing = Math.max(0, requests + 1 - bucket.available(now));
    return Duration.ofNanos((long) (missing / requestsPerSecond * NANOS_PER_SECOND));
  }
}
