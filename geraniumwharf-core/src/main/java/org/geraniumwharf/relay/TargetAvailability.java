package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.internal.routing.RendezvousHash;

/**
 * Decides from the notices of targets which of them accept requests of this instance. Not safe for
 * use by several threads.
 *
 * <p>A target that is leaving gets no further request until a later process of it is announced. A
 * target that asked for a pause gets none until its end. The return is spread for the load pattern
 * of a target that turns all instances away at once: each instance adds a delay of its own, and
 * then sends one request at a time for a while. A pause does not count as a failure of the target.
 */
final class TargetAvailability {

  /** An instance resumes at most this fraction of a pause after its end. */
  private static final double MAX_RETURN_DELAY_SHARE = 0.25;

  private static final Duration MAX_RETURN_DELAY = Duration.ofMillis(400);

  /** Time after a pause in which an instance has one request at a time at the target. */
  private static final Duration SINGLE_REQUEST_TIME = Duration.ofMillis(300);

  /** Time for which the notices of a target that is no longer announced are kept. */
  private static final Duration RETENTION = Duration.ofMinutes(10);

  private final String instance;
  private final Map<String, Status> statuses = new HashMap<>();

  private TargetAvailability(String instance) {
    this.instance = instance;
  }

  /**
   * Creates the table of an instance.
   *
   * @param instance name of the instance, from which its delays are derived
   */
  static TargetAvailability forInstance(String instance) {
    return new TargetAvailability(instance);
  }

  /**
   * Status of one process of a target.
   *
   * @param incarnation incarnation of the process
   * @param pausedUntil time from which it accepts requests; {@link Instant#MIN} without a pause
   * @param announcedAt time when it was last known to be announced
   */
  private record Status(
      long incarnation, boolean isLeaving, Instant pausedUntil, Instant announcedAt) {

    Status withNotice(TargetNotice notice, Instant now) {
      Instant end = notice.pause().map(now::plus).orElse(Instant.MIN);
      Instant latest = end.isAfter(pausedUntil) ? end : pausedUntil;
      return new Status(incarnation, isLeaving || notice.isLeaving(), latest, announcedAt);
    }

    Status announced(Instant now) {
      return new Status(incarnation, isLeaving, pausedUntil, now);
    }

    boolean isClosed(Instant now) {
      return isLeaving || now.isBefore(pausedUntil);
    }
  }

  /**
   * Records a notice.
   *
   * @return whether it closes the target, which accepted requests before
   */
  boolean recordNotice(RelayTarget target, TargetNotice notice, Instant now) {
    Optional<Status> known = status(target);
    boolean isOutdated = known.filter(s -> s.incarnation() > target.incarnation()).isPresent();
    if (notice.isOpen() || isOutdated) {
      return false;
    }
    Status before =
        known.orElseGet(() -> new Status(target.incarnation(), false, Instant.MIN, now));
    TargetNotice delayed =
        new TargetNotice(
            notice.isLeaving(),
            notice.pause().map(pause -> pause.plus(delay(target, pause))),
            notice.limit(),
            notice.coldFor());
    Status after = before.withNotice(delayed, now);
    statuses.put(target.id(), after);
    return !before.isClosed(now) || after.isLeaving() != before.isLeaving();
  }

  private Duration delay(RelayTarget target, Duration pause) {
    double share =
        MAX_RETURN_DELAY_SHARE
            * RendezvousHash.fraction(RendezvousHash.keyOf(instance + '@' + target.id()));
    Duration delay = Duration.ofNanos((long) (pause.toNanos() * share));
    return delay.compareTo(MAX_RETURN_DELAY) < 0 ? delay : MAX_RETURN_DELAY;
  }

  private Optional<Status> status(RelayTarget target) {
    return Optional.ofNullable(statuses.get(target.id()))
        .filter(status -> status.incarnation() >= target.incarnation());
  }

  /** Returns whether the target is leaving or pauses, so that nothing may be sent to it. */
  boolean isClosed(RelayTarget target, Instant now) {
    return status(target).filter(status -> status.isClosed(now)).isPresent();
  }

  /**
   * Returns why no further request may be placed at a target.
   *
   * @param inFlight requests that this instance has at the target
   */
  Optional<Exclusion> exclusion(RelayTarget target, int inFlight, Instant now) {
    Status status = statuses.isEmpty() ? null : statuses.get(target.id());
    if (status == null || status.incarnation() < target.incarnation()) {
      return Optional.empty();
    }
    if (status.isLeaving()) {
      return Exclusion.lasting(Exclusion.Reason.LEAVING);
    }
    Instant end = status.pausedUntil();
    if (now.isBefore(end)) {
      return Exclusion.until(Exclusion.Reason.PAUSED, end);
    }
    Instant returned = plus(end, SINGLE_REQUEST_TIME);
    return inFlight > 0 && now.isBefore(returned)
        ? Exclusion.until(Exclusion.Reason.RETURNING, returned)
        : Optional.empty();
  }

  private static Instant plus(Instant time, Duration duration) {
    return time.equals(Instant.MIN) ? time : time.plus(duration);
  }

  /** Forgets targets that have not been announced for a long time. */
  void retainTargets(Set<String> announced, Instant now) {
    statuses.replaceAll(
        (target, status) -> announced.contains(target) ? status.announced(now) : status);
    statuses.values().removeIf(status -> status.announcedAt().plus(RETENTION).isBefore(now));
  }
}
