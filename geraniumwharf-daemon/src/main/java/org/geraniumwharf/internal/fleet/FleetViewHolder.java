package org.geraniumwharf.internal.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.WatchDelta;
import org.geraniumwharf.schema.messages.WatchFreshness;
import org.geraniumwharf.schema.messages.WatchSnapshot;
import org.geraniumwharf.schema.view.NamedDuration;
import org.geraniumwharf.time.ConfirmedTime;
import org.geraniumwharf.time.ProcessStart;

/**
 * The newest view. Readers never block; a message of a lower index than the view's changes nothing,
 * so the view never goes back whatever control instance it comes from.
 */
public final class FleetViewHolder {

  /** Least age that a control instance states which has had no leader since its start. */
  private static final long NEVER_CONFIRMED_MILLIS = Duration.ofDays(1).toMillis();

  private final List<BiConsumer<FleetSnapshot, FleetSnapshot>> listeners =
      new CopyOnWriteArrayList<>();
  private volatile FleetSnapshot current = FleetSnapshot.empty();
  private volatile Instant freshAt = Instant.MIN;
  private volatile Optional<ConfirmedTime> confirmedTime = Optional.empty();
  private volatile String watched = "none";
  private volatile Origin origin = new Origin("none", Duration.ZERO, Optional.empty());

  private volatile NamedBefore namedBefore = new NamedBefore(List.of(), Instant.MIN);

  private FleetViewHolder() {}

  public static FleetViewHolder create() {
    return new FleetViewHolder();
  }

  public FleetSnapshot current() {
    return current;
  }

  /** Returns the newest time at which the view was confirmed to be the newest. */
  Instant freshAt() {
    return freshAt;
  }

  /** Records which control instance the messages come from that are applied from now on. */
  void watching(String instance) {
    watched = instance;
  }

  /** Returns where the newest change of the view came from. */
  public Origin origin() {
    return origin;
  }

  /** Returns the time since the view was last confirmed to be the newest; empty if it never was. */
  public Optional<Duration> sinceConfirmed(Instant now) {
    Instant confirmed = freshAt;
    return confirmed.equals(Instant.MIN)
        ? Optional.empty()
        : Optional.of(Duration.between(confirmed, now));
  }

  /**
   * Returns the time for which the view has been confirmed or its confirmation was due; empty if it
   * never was confirmed.
   */
  public Optional<ConfirmedTime> confirmedTime() {
    return confirmedTime;
  }

  /** Returns what the first view told of versions of weights that had been named before it. */
  public NamedBefore namedBefore() {
    return namedBefore;
  }

  /**
   * Calls a listener with the old and the new view after each change. A listener that fails keeps
   * neither the view nor the other listeners from the change.
   */
  public void onChange(BiConsumer<FleetSnapshot, FleetSnapshot> listener) {
    listeners.add(listener);
  }

  /** Applies a message of a watch stream and returns its index and age. */
  synchronized Received apply(ControlAnswer message, Instant now) {
    if (message instanceof WatchSnapshot snapshot) {
      if (snapshot.view().index() > current.index()) {
        recordNamedBefore(snapshot, now);
        replace(FleetSnapshot.of(snapshot.view()), snapshot.ageMillis(), now);
      }
      return received(snapshot.view().index(), snapshot.ageMillis(), snapshot.upMillis(), now);
    }
    if (message instanceof WatchDelta delta) {
      if (delta.change().index() > current.index()) {
        replace(current.changed(delta.change()), delta.ageMillis(), now);
      }
      return received(delta.change().index(), delta.ageMillis(), delta.upMillis(), now);
    }
    if (message instanceof WatchFreshness freshness) {
      if (freshness.index() > current.index()) {
        current = current.advanced(freshness.index());
      }
      return received(freshness.index(), freshness.ageMillis(), freshness.upMillis(), now);
    }
    return new Received(0, Duration.ofDays(1), false);
  }

  /** Only the first view tells of names of which no view before it can. */
  private void recordNamedBefore(WatchSnapshot snapshot, Instant now) {
    if (current.index() == 0) {
      namedBefore = new NamedBefore(snapshot.named(), now.minusMillis(snapshot.ageMillis()));
    }
  }

  private void replace(FleetSnapshot received, long ageMillis, Instant now) {
    origin = new Origin(watched, Duration.ofMillis(ageMillis), sinceConfirmed(now));
    FleetSnapshot before = current;
    FleetSnapshot next = received.arrivedAfter(before, now);
    current = next;
    List<RuntimeException> failures = new ArrayList<>();
    for (BiConsumer<FleetSnapshot, FleetSnapshot> listener : listeners) {
      try {
        listener.accept(before, next);
      } catch (RuntimeException e) {
        failures.add(e);
      }
    }
    if (!failures.isEmpty()) {
      throw failures.get(0);
    }
  }

  private Received received(long index, long ageMillis, Optional<Long> upMillis, Instant now) {
    Instant confirmed = now.minusMillis(ageMillis);
    Optional<Instant> controlServingSince =
        upMillis.flatMap(up -> ProcessStart.servingSince(now.minusMillis(up), now));
    if (index >= current.index() && confirmed.isAfter(freshAt)) {
      freshAt = confirmed;
      if (ageMillis < NEVER_CONFIRMED_MILLIS) {
        recordConfirmed(confirmed, controlServingSince);
      }
    }
    controlServingSince.ifPresent(since -> recordDue(now, since));
    boolean isUnconfirmedSinceStart =
        upMillis
            .filter(up -> ProcessStart.isExpectedToServe(Duration.ofMillis(up)) && ageMillis >= up)
            .isPresent();
    return new Received(index, Duration.ofMillis(ageMillis), isUnconfirmedSinceStart);
  }

  /**
   * Counts the time of a control process that was started lately, has had time to serve and is in
   * touch, but cannot confirm the view, for example since its group has no leader.
   */
  private void recordDue(Instant now, Instant controlServingSince) {
    confirmedTime = confirmedTime.map(time -> time.due(now, controlServingSince));
  }

  private void recordConfirmed(Instant confirmed, Optional<Instant> controlServingSince) {
    Instant first = controlServingSince.filter(confirmed::isAfter).orElse(confirmed);
    confirmedTime =
        Optional.of(
            confirmedTime
                .orElseGet(() -> ConfirmedTime.startingAt(first))
                .confirmed(confirmed, controlServingSince));
  }

  /**
   * Where a change of the view came from.
   *
   * @param instance control instance that sent it
   * @param age age that its message stated
   * @param sinceConfirmed time for which the view before it had not been confirmed; empty if it
   *     never was
   */
  public record Origin(String instance, Duration age, Optional<Duration> sinceConfirmed) {}

  /**
   * Versions of weights that had been named before the first view.
   *
   * @param durations for how long, when the view was confirmed
   * @param confirmedAt time at which it was confirmed, by the own clock
   */
  public record NamedBefore(List<NamedDuration> durations, Instant confirmedAt) {}

  /**
   * What a message told.
   *
   * @param index index of the sender's view
   * @param age time since that view was confirmed
   * @param isUnconfirmedSinceStart whether the sender has run for long enough to serve and no
   *     leader has confirmed its view since its start, so that it may lack what was accepted before
   */
  record Received(long index, Duration age, boolean isUnconfirmedSinceStart) {}
}
