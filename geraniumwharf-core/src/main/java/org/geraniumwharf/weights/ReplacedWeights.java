package org.geraniumwharf.weights;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.time.ConfirmedTime;

/**
 * Decides for how long requests may still begin on weights that were replaced. It counts from the
 * first newer version that was named, and only time in which the view was confirmed, so it depends
 * neither on the progress of a rollout nor on the clock of another process. Weights that are
 * overdue once stay so. Thread-safe.
 */
public final class ReplacedWeights {

  /** Names of a model that are counted apart; further ones count from the last of them. */
  private static final int MAX_NAMES = 64;

  private final Duration inStretch;
  private final Duration inTotal;
  private final Map<String, ModelNames> models = new HashMap<>();

  private ReplacedWeights(Duration inStretch, Duration inTotal) {
    this.inStretch = inStretch;
    this.inTotal = inTotal;
  }

  /**
   * Time after which no request may begin on replaced weights.
   *
   * @param inStretch time in one stretch in which the view was confirmed
   * @param inTotal time in all such stretches
   */
  public record Bounds(Duration inStretch, Duration inTotal) {

    public static final Bounds DEFAULT = new Bounds(Duration.ofSeconds(6), Duration.ofMillis(8400));

    /** Returns the time that a request may take to its first token longer than expected. */
    private Duration margin() {
      return inStretch.dividedBy(4);
    }
  }

  /**
   * A version that was named.
   *
   * @param notBefore time before which it cannot have been named
   * @param confirmedBefore time for which the view had been confirmed then
   */
  private record Name(long version, Instant notBefore, Duration confirmedBefore) {

    /** A view that was confirmed without the version shows that it was named later. */
    static Name of(long version, Optional<ConfirmedTime> confirmed, Instant now) {
      Instant notBefore = confirmed.map(ConfirmedTime::last).orElse(now);
      return new Name(
          version, notBefore, confirmed.map(time -> time.total(notBefore)).orElse(Duration.ZERO));
    }
  }

  /** Names of a model, the oldest first. */
  private static final class ModelNames {
    private final Deque<Name> pending = new ArrayDeque<>();
    private long newest;
    private long oldestUsable;
  }

  /** Returns a decision that stops a margin before the bounds. */
  public static ReplacedWeights within(Bounds bounds) {
    return new ReplacedWeights(
        bounds.inStretch().minus(bounds.margin()), bounds.inTotal().minus(bounds.margin()));
  }

  /**
   * Records the newest version of a model that a view names.
   *
   * @param confirmed confirmations of earlier views; empty if there was none
   */
  public synchronized void recordNamed(
      String model, long version, Optional<ConfirmedTime> confirmed, Instant now) {
    ModelNames names = models.computeIfAbsent(model, name -> new ModelNames());
    if (version <= names.newest) {
      return;
    }
    names.newest = version;
    if (names.pending.size() < MAX_NAMES) {
      names.pending.add(Name.of(version, confirmed, now));
    } else {
      Name last = names.pending.removeLast();
      names.pending.add(new Name(version, last.notBefore(), last.confirmedBefore()));
    }
  }

  /**
   * Returns the time within which a request may still begin on a version; zero once it is overdue,
   * empty if it was not replaced.
   *
   * @param confirmed confirmations of the view until now; empty if there was none
   */
  public synchronized Optional<Duration> timeLeft(
      String model, long version, Optional<ConfirmedTime> confirmed, Instant now) {
    ModelNames names = models.get(model);
    if (names == null || version >= names.newest) {
      return Optional.empty();
    }
    confirmed.ifPresent(time -> dropOverdue(names, time, now));
    if (version < names.oldestUsable) {
      return Optional.of(Duration.ZERO);
    }
    return names.pending.stream()
        .filter(name -> name.version() > version)
        .findFirst()
        .flatMap(name -> confirmed.map(time -> timeLeft(name, time, now)));
  }

  private void dropOverdue(ModelNames names, ConfirmedTime confirmed, Instant now) {
    while (!names.pending.isEmpty()
        && timeLeft(names.pending.peek(), confirmed, now).compareTo(Duration.ZERO) <= 0) {
      names.oldestUsable = names.pending.poll().version();
    }
  }

  private Duration timeLeft(Name name, ConfirmedTime confirmed, Instant now) {
    Duration leftInStretch = inStretch.minus(confirmed.inStretchSince(name.notBefore(), now));
    Duration leftInTotal = inTotal.minus(confirmed.total(now).minus(name.confirmedBefore()));
    return leftInStretch.compareTo(leftInTotal) < 0 ? leftInStretch : leftInTotal;
  }
}
