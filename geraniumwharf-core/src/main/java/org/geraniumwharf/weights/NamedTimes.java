package org.geraniumwharf.weights;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.geraniumwharf.schema.view.NamedDuration;
import org.geraniumwharf.time.ConfirmedTime;

/**
 * Tells for how long versions of weights have been named, for processes that have just started. It
 * counts from the time at which this process learned the name, by its own clock, and only time in
 * which its view was confirmed; so it never tells more than the truth. Used by one thread.
 */
public final class NamedTimes {

  /** Time after which only the newest such version of a model is kept; above any bound. */
  private static final Duration KEPT_APART = Duration.ofMinutes(5);

  /** Versions of a model that are told apart; further ones are left out until others are old. */
  private static final int MAX_NAMES = 64;

  private final Map<String, Deque<Name>> models = new TreeMap<>();

  private NamedTimes() {}

  public static NamedTimes create() {
    return new NamedTimes();
  }

  /**
   * A version that was named.
   *
   * @param learnedAt time at which this process learned it
   * @param confirmedBefore time for which the view had been confirmed then
   */
  private record Name(long version, Instant learnedAt, Duration confirmedBefore) {

    private Duration total(ConfirmedTime confirmed) {
      return confirmed.total(confirmed.last()).minus(confirmedBefore);
    }

    private NamedDuration duration(String model, ConfirmedTime confirmed) {
      Duration inStretch = confirmed.inStretchSince(learnedAt, confirmed.last());
      return NamedDuration.of(model, version, inStretch.toMillis(), total(confirmed).toMillis());
    }
  }

  /**
   * Records the newest version of a model.
   *
   * @param confirmed confirmations of the view; empty if there was none
   */
  public void recordNamed(
      String model, long version, Optional<ConfirmedTime> confirmed, Instant now) {
    Deque<Name> names = models.computeIfAbsent(model, name -> new ArrayDeque<>());
    confirmed.ifPresent(time -> dropOld(names, time));
    if (names.size() < MAX_NAMES && (names.isEmpty() || version > names.peekLast().version())) {
      Duration before = confirmed.map(time -> time.total(now)).orElse(Duration.ZERO);
      names.add(new Name(version, now, before));
    }
  }

  private static void dropOld(Deque<Name> names, ConfirmedTime confirmed) {
    Name oldest = names.poll();
    while (!names.isEmpty() && names.peek().total(confirmed).compareTo(KEPT_APART) > 0) {
      oldest = names.poll();
    }
    if (oldest != null) {
      names.addFirst(oldest);
    }
  }

  /** Returns how long versions had been named at the last confirmation, older ones first. */
  public List<NamedDuration> atLastConfirmation(Optional<ConfirmedTime> confirmed) {
    return confirmed.map(this::durations).orElse(List.of());
  }

  private List<NamedDuration> durations(ConfirmedTime confirmed) {
    List<NamedDuration> durations = new ArrayList<>();
    models.forEach(
        (model, names) ->
            names.stream()
                .map(name -> name.duration(model, confirmed))
                .filter(duration -> duration.totalMillis() > 0)
                .forEach(durations::add));
    return durations;
  }
}
