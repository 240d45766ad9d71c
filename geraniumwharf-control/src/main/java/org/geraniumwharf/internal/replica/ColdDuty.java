package org.geraniumwharf.internal.replica;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumwharf.internal.state.ControlState;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.objects.ColdLimit;
import org.geraniumwharf.schema.objects.RelayService;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;

/**
 * Decides when a target that becomes cold, and the end of that, is recorded: once each, and not
 * with each of its heartbeats. Holds the ends by the clock of the leader. Used by the replica
 * thread only.
 */
final class ColdDuty {

  /** Difference between two ends below which they are taken to be the same one. */
  private static final Duration TOLERANCE = Duration.ofMillis(300);

  /** Time after an end that no target reported, in which its report may still arrive. */
  private static final Duration END_DELAY = Duration.ofMillis(500);

  /** Time after which the end is proposed again if it has not been applied. */
  private static final Duration END_REPEAT = Duration.ofSeconds(1);

  private final EventLog log;
  private final Map<String, Known> known = new HashMap<>();
  private Map<String, ColdLimit> limits = Map.of();
  private long limitsVersion = -1;

  ColdDuty(EventLog log) {
    this.log = log;
  }

  /**
   * What the leader knows of a process.
   *
   * @param until time until which it is cold; {@link Instant#MIN} if it is warm
   * @param startedUntil time until which it is cold because it has just started
   * @param endProposedAt time when its end was last proposed
   */
  private record Known(
      long incarnation, Instant until, Instant startedUntil, Instant endProposedAt) {

    Known withUntil(Instant newUntil) {
      return new Known(incarnation, newUntil, startedUntil, Instant.MIN);
    }

    Known withEndProposed(Instant now) {
      return new Known(incarnation, until, startedUntil, now);
    }
  }

  /** Counts the time of all cold targets from now on, since an earlier leader knew their ends. */
  void startLeadership(ControlState state, Instant now) {
    known.clear();
    limitsVersion = -1;
    for (TargetRecord record : state.targets()) {
      if (record.announcement().coldMillis() > 0) {
        known.put(record.announcement().id(), inherited(record.announcement(), state, now));
      }
    }
  }

  /** Returns what is known of a cold target whose start may have been less than its time ago. */
  private Known inherited(Announcement cold, ControlState state, Instant now) {
    long started = Math.min(cold.coldMillis(), startMillis(cold, state));
    return new Known(
        cold.incarnation(),
        now.plusMillis(cold.coldMillis()),
        now.plusMillis(started),
        Instant.MIN);
  }

  /** Returns whether a service limits the requests to its cold targets. */
  boolean isAnyLimited(ControlState state) {
    return !limits(state).isEmpty();
  }

  private Map<String, ColdLimit> limits(ControlState state) {
    long version = state.configuration().version();
    if (version != limitsVersion) {
      limitsVersion = version;
      limits =
          state.configuration().objects().stream()
              .filter(RelayService.class::isInstance)
              .map(RelayService.class::cast)
              .filter(service -> service.cold().isPresent())
              .collect(
                  Collectors.toMap(RelayService::name, service -> service.cold().orElseThrow()));
    }
    return limits;
  }

  private Optional<ColdLimit> limit(Announcement announcement, ControlState state) {
    return announcement.service().map(limits(state)::get);
  }

  private long startMillis(Announcement announcement, ControlState state) {
    return limit(announcement, state).map(ColdLimit::startMillis).orElse(0L);
  }

  /**
   * Returns an announcement with the time for which the target is cold: as it states, and after its
   * start at least as its service states. It is 0 without a limit.
   */
  Announcement completed(Announcement announcement, ControlState state, Instant now) {
    if (limit(announcement, state).isEmpty()) {
      return announcement.withColdMillis(0);
    }
    recordStart(announcement, state, now);
    Instant startedUntil =
        find(announcement).map(Known::startedUntil).filter(now::isBefore).orElse(now);
    long left = Duration.between(now, startedUntil).toMillis();
    return announcement.withColdMillis(Math.max(announcement.coldMillis(), left));
  }

  private void recordStart(Announcement announcement, ControlState state, Instant now) {
    Optional<Long> recorded =
        state.target(announcement.id()).map(record -> record.announcement().incarnation());
    Known current = known.get(announcement.id());
    boolean isKnown =
        recorded.filter(before -> before >= announcement.incarnation()).isPresent()
            || (current != null && current.incarnation() >= announcement.incarnation());
    if (!isKnown) {
      Instant startedUntil = now.plusMillis(startMillis(announcement, state));
      known.put(
          announcement.id(),
          new Known(announcement.incarnation(), Instant.MIN, startedUntil, Instant.MIN));
    }
  }

  private Optional<Known> find(Announcement announcement) {
    return Optional.ofNullable(known.get(announcement.id()))
        .filter(current -> current.incarnation() == announcement.incarnation());
  }

  /** Returns whether a target becomes cold, its end moves, or it becomes warm. */
  boolean isChanged(Announcement announcement, Announcement recorded, Instant now) {
    boolean isCold = announcement.coldMillis() > 0;
    if (!isCold || recorded.coldMillis() == 0) {
      return isCold != recorded.coldMillis() > 0;
    }
    Instant until = now.plusMillis(announcement.coldMillis());
    return find(announcement).filter(current -> isNear(current.until(), until)).isEmpty();
  }

  private static boolean isNear(Instant one, Instant other) {
    return !one.equals(Instant.MIN) && Duration.between(one, other).abs().compareTo(TOLERANCE) <= 0;
  }

  /** Records an announcement for which a command is proposed. */
  void recordAnnounced(Announcement announcement, ControlState state, Instant now) {
    boolean isCold = announcement.coldMillis() > 0;
    boolean wasCold =
        state
            .target(announcement.id())
            .filter(record -> record.announcement().coldMillis() > 0)
            .isPresent();
    if (isCold || wasCold) {
      Instant until = isCold ? now.plusMillis(announcement.coldMillis()) : Instant.MIN;
      Known before =
          find(announcement)
              .orElseGet(
                  () ->
                      new Known(announcement.incarnation(), Instant.MIN, Instant.MIN, Instant.MIN));
      known.put(announcement.id(), before.withUntil(until));
      logChange(announcement);
    }
  }

  private void logChange(Announcement announcement) {
    log.info(
        Event.of(announcement.coldMillis() > 0 ? "target-cold" : "target-warm")
            .with("target", announcement.id())
            .with("incarnation", announcement.incarnation())
            .with("millis", announcement.coldMillis()));
  }

  /** Returns the announcements of targets whose time ended without a report, as warm ones. */
  List<Announcement> ended(ControlState state, Instant now) {
    List<Announcement> warm = new ArrayList<>();
    for (TargetRecord record : state.targets()) {
      Announcement announcement = record.announcement();
      if (record.lapsed() || announcement.coldMillis() == 0) {
        continue;
      }
      Known current = find(announcement).orElseGet(() -> inherited(announcement, state, now));
      boolean isDue =
          !current.until().equals(Instant.MIN)
              && !now.isBefore(current.until().plus(END_DELAY))
              && !now.isBefore(plus(current.endProposedAt(), END_REPEAT));
      known.put(announcement.id(), isDue ? current.withEndProposed(now) : current);
      if (isDue) {
        warm.add(announcement.withColdMillis(0));
        logChange(announcement.withColdMillis(0));
      }
    }
    return warm;
  }

  private static Instant plus(Instant time, Duration duration) {
    return time.equals(Instant.MIN) ? time : time.plus(duration);
  }

  /** Forgets targets that are gone, and processes that have been warm since their start. */
  void prune(ControlState state, Instant now) {
    Set<String> cold =
        state.targets().stream()
            .map(TargetRecord::announcement)
            .filter(announcement -> announcement.coldMillis() > 0)
            .map(Announcement::id)
            .collect(Collectors.toSet());
    known
        .entrySet()
        .removeIf(
            entry ->
                !cold.contains(entry.getKey())
                    && now.isAfter(plus(entry.getValue().startedUntil(), END_REPEAT)));
  }
}
