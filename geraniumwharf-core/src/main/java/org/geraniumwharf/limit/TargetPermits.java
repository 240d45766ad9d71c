package org.geraniumwharf.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.schema.messages.LimitReport;
import org.geraniumwharf.schema.messages.PermitDemand;
import org.geraniumwharf.schema.messages.PermitGrant;

/**
 * The limits of targets that an entry instance knows, and the permits that it holds for the limited
 * ones. Thread-safe; no other lock is acquired while its lock is held.
 */
public final class TargetPermits {

  /** Shortest time between two reports that are not due. */
  private static final Duration MIN_REPORT_INTERVAL = Duration.ofMillis(50);

  private final String instance;
  private final Runnable reportNow;
  private final LimitTable limits = LimitTable.create();
  private final Map<String, PermitStock> stocks = new HashMap<>();
  private int instances = 1;
  private Instant reportRequestedAt = Instant.MIN;
  private long granted;
  private long spent;
  private long expired;
  private long steered;

  private TargetPermits(String instance, Runnable reportNow) {
    this.instance = instance;
    this.reportNow = reportNow;
  }

  /**
   * Creates the permits of an instance.
   *
   * @param instance name of the instance
   * @param reportNow called when the leader should get a report before the next one is due; must
   *     not block
   */
  public static TargetPermits create(String instance, Runnable reportNow) {
    return new TargetPermits(instance, reportNow);
  }

  /**
   * What an entry reports to the leader.
   *
   * @param limits limits that it knows, with those that ended lately
   * @param demands limited targets for which it could use permits
   */
  public record Report(List<LimitReport> limits, List<PermitDemand> demands) {

    /** Returns the report of an instance that sends no requests to targets. */
    public static Report none() {
      return new Report(List.of(), List.of());
    }
  }

  /**
   * An answer of the leader to a report.
   *
   * @param instances number of live entry instances, at least 1
   * @param limits limits that the leader knows, with those that ended lately
   * @param grants a grant, perhaps of no permit, for each target with a limit
   */
  public record Answer(int instances, List<LimitReport> limits, List<PermitGrant> grants) {}

  /**
   * Numbers of permits since the start.
   *
   * @param granted permits that the leader granted
   * @param spent requests that were sent with a permit
   * @param expired permits that were not used in time
   * @param steered times at which a request went elsewhere, since a target was at its limit
   */
  public record Counts(long granted, long spent, long expired, long steered) {}

  // ------------------------------------------------------------------- limits

  /**
   * Records the limit that a target states in a response.
   *
   * @param statedFrom earliest time at which the response may have been formed
   * @return the change; empty if the limit was known
   */
  public synchronized Optional<TargetLimit> recordResponse(
      String target, long incarnation, RequestLimit limit, Instant statedFrom, Instant now) {
    Optional<TargetLimit> change =
        limits.recordResponse(target, incarnation, limit, statedFrom, now);
    change.ifPresent(
        changed -> {
          replaceStock(changed, now);
          requestReport(now);
        });
    return change;
  }

  /** Drops the permits for a limit that changed: they may be too many for the new one. */
  private void replaceStock(TargetLimit changed, Instant now) {
    removeStock(changed.target());
    if (changed.limit().isPresent()) {
      stocks.put(changed.target(), PermitStock.create(changed, instance, now));
    }
  }

  private void removeStock(String target) {
    PermitStock removed = stocks.remove(target);
    if (removed != null) {
      expired += removed.expiredCount();
    }
  }

  /** Removes the limits of targets that have not been announced for some time. */
  public synchronized void retainTargets(Set<String> announced, Instant now) {
    limits.retainTargets(announced, now);
    for (String target : List.copyOf(stocks.keySet())) {
      if (limits.find(target).isEmpty()) {
        removeStock(target);
      }
    }
  }

  // ------------------------------------------------------------------ permits

  private Optional<PermitStock> stock(String target, long incarnation) {
    return Optional.ofNullable(stocks.get(target))
        .filter(stock -> stock.limit().incarnation() == incarnation);
  }

  /** Returns whether any target has a limit. */
  public synchronized boolean isAnyLimited() {
    return !stocks.isEmpty();
  }

  /** Returns whether a request may be sent to a target, which has no limit or a permit left. */
  public synchronized boolean isAvailable(String target, long incarnation, Instant now) {
    return stock(target, incarnation).map(stock -> stock.isAvailable(instances, now)).orElse(true);
  }

  /** Takes a permit for a request to a target; empty if none is available. */
  public synchronized Optional<Permit> take(String target, long incarnation, Instant now) {
    Optional<PermitStock> stock = stock(target, incarnation);
    if (stock.isEmpty()) {
      return Optional.of(new Permit(target, incarnation, Optional.empty()));
    }
    Optional<Permit> taken = stock.get().take(instances, now);
    taken.ifPresent(permit -> spent++);
    return taken;
  }

  /** Returns whether the request of a permit may still be sent. */
  public synchronized boolean isValid(Permit permit, Instant now) {
    return permit
        .expiresAt()
        .map(now::isBefore)
        .orElseGet(() -> stock(permit.target(), permit.incarnation()).isEmpty());
  }

  /** Takes back a permit whose request was not sent. */
  public synchronized void giveBack(Permit unused) {
    if (unused.expiresAt().isPresent()) {
      spent--;
      stock(unused.target(), unused.incarnation()).ifPresent(stock -> stock.giveBack(unused));
    }
  }

  /** Records that a request found no permit for a target and was sent to another one. */
  public synchronized void recordSteered(String target, long incarnation, Instant now) {
    stock(target, incarnation)
        .ifPresent(
            stock -> {
              steered++;
              stock.recordRequest(now);
            });
  }

  /** Records that a request waits for a permit, unless that is known. */
  public synchronized void addWaiting(
      String target, long incarnation, String requestId, Instant now) {
    Optional<PermitStock> stock = stock(target, incarnation);
    if (stock.isPresent()
        && stock.get().addWaiting(requestId, now)
        && !stock.get().expectedAt(requestId, instances, now).isAfter(now)) {
      requestReport(now);
    }
  }

  /** Records that a request no longer waits for a permit. */
  public synchronized void removeWaiting(String requestId) {
    stocks.values().forEach(stock -> stock.removeWaiting(requestId));
  }

  /** Returns when a request, which may be waiting, is expected to get a permit for a target. */
  public synchronized Instant expectedAt(
      String target, long incarnation, String requestId, Instant now) {
    return stock(target, incarnation)
        .map(stock -> stock.expectedAt(requestId, instances, now))
        .orElse(now);
  }

  /** Returns the time before which no request that waits gets a permit for a target. */
  public synchronized Instant earliestAt(String target, long incarnation, Instant now) {
    return stock(target, incarnation).map(stock -> stock.earliestAt(instances, now)).orElse(now);
  }

  // ------------------------------------------------------------------ reports

  private void requestReport(Instant now) {
    if (reportRequestedAt.equals(Instant.MIN)
        || now.isAfter(reportRequestedAt.plus(MIN_REPORT_INTERVAL))) {
      reportRequestedAt = now;
      reportNow.run();
    }
  }

  /** Returns what the leader is told. */
  public synchronized Report report(Instant now) {
    List<PermitDemand> demands =
        stocks.values().stream()
            .map(stock -> stock.demand(now))
            .filter(demand -> demand.waiting() > 0 || demand.expected() > 0)
            .toList();
    return new Report(LimitReports.of(limits.all(), now), demands);
  }

  /**
   * Applies an answer of the leader.
   *
   * @param reportedAt time of the report
   * @return limits that the leader knew better
   */
  public synchronized List<TargetLimit> applyAnswer(
      Answer answer, Instant reportedAt, Instant now) {
    instances = Math.max(1, answer.instances());
    List<TargetLimit> changes = new ArrayList<>();
    for (TargetLimit known : LimitReports.read(answer.limits(), now)) {
      limits.recordReport(known, now).ifPresent(changes::add);
    }
    changes.forEach(changed -> replaceStock(changed, now));
    for (PermitGrant grant : answer.grants()) {
      granted += grant.permits();
      stock(grant.target(), grant.incarnation())
          .ifPresent(stock -> stock.answered(grant, reportedAt, now));
    }
    return changes;
  }

  /** Returns the numbers of permits since the start. */
  public synchronized Counts counts() {
    long inStocks = stocks.values().stream().mapToLong(PermitStock::expiredCount).sum();
    return new Counts(granted, spent, expired + inStocks, steered);
  }
}
