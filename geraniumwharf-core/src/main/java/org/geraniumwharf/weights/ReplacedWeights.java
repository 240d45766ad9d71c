package org.geraniumwharf.weights;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.schema.view.NamedDuration;
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
    public Duration margin() {
      return inStretch.dividedBy(4);
    }
  }

  /**
   * A version that was named.
   *
   * @param notBefore time before which it cannot have been named
   * @param confirmedBefore time for which the view had been confirmed then
   * @param toldInStretch time that was told to lie before, in the first stretch
   * @param toldInTotal time that was told to lie before, in all stretches
   */
  private record Name(
      long version,
      Instant notBefore,
      Duration confirmedBefore,
      Duration toldInStretch,
      Duration toldInTotal) {

    /**
     * A view that was confirmed without the version shows that it was named later. Without such a
     * view it may have been named at any time before.
     */
    static Name of(long version, Optional<ConfirmedTime> confirmed) {
      Instant notBefore = confirmed.map(ConfirmedTime::last).orElse(Instant.MIN);
      Duration before = confirmed.map(ConfirmedTime::totalAtLast).orElse(Duration.ZERO);
      return new Name(version, notBefore, before, Duration.ZERO, Duration.ZERO);
    }

    static Name told(NamedDuration named, Optional<ConfirmedTime> confirmed, Instant at) {
      return new Name(
          named.version(),
          at,
          confirmed.map(time -> time.total(at)).orElse(Duration.ZERO),
          Duration.ofMillis(named.stretchMillis()),
          Duration.ofMillis(named.totalMillis()));
    }

    Name withVersion(long newVersion) {
      return new Name(newVersion, notBefore, confirmedBefore, toldInStretch, toldInTotal);
    }

    Duration inStretch(ConfirmedTime confirmed, Instant now) {
      Duration counted = confirmed.inStretchSince(notBefore, now);
      return confirmed.isInFirstStretch() ? counted.plus(toldInStretch) : counted;
    }

    Duration inTotal(ConfirmedTime confirmed, Instant now) {
      return confirmed.total(now).minus(confirmedBefore).plus(toldInTotal);
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
      String model, long version, Optional<ConfirmedTime> confirmed) {
    record(model, Name.of(version, confirmed));
  }

  /**
   * Records a version that had been named before this process received its first view.
   *
   * @param confirmed confirmations of earlier views; empty if there was none
   * @param at time at which the first view was confirmed, and until which the duration was counted
   */
  public synchronized void recordNamedBefore(
      NamedDuration named, Optional<ConfirmedTime> confirmed, Instant at) {
    record(named.model(), Name.told(named, confirmed, at));
  }

  private void record(String model, Name name) {
    ModelNames names = models.computeIfAbsent(model, newModel -> new ModelNames());
    if (name.version() <= names.newest) {
      return;
    }
    names.newest = name.version();
    names.pending.add(
        names.pending.size() < MAX_NAMES
            ? name
            : names.pending.removeLast().withVersion(name.version()));
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
    Duration leftInStretch = inStretch.minus(name.inStretch(confirmed, now));
    Duration leftInTotal = inTotal.minus(name.inTotal(confirmed, now));
    return leftInStretch.compareTo(leftInTotal) < 0 ? leftInStretch : leftInTotal;
  }
}
