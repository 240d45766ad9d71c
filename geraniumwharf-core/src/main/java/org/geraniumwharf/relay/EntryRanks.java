package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.geraniumwharf.schema.messages.EntryRank;

/**
 * Ranks the live entry instances, by which they divide the requests to cold targets. Not safe for
 * use by several threads.
 *
 * <p>Handles the arrival and departure of instances: a ranking is kept for so long that the sends
 * of any one second follow at most two rankings, whatever the age of the ranks that instances hold.
 */
public final class EntryRanks {

  /** Time for which an instance uses a rank, from the moment it asked for it. */
  static final Duration VALIDITY = Duration.ofSeconds(2);

  /** Shortest time between two rankings. */
  static final Duration MIN_RANKING_TIME = VALIDITY.plus(ColdTargets.COUNTED_SECOND);

  /** A leader that no quorum confirmed within this time may have been replaced. */
  static final Duration MAX_CONFIRMED_AGE = Duration.ofMillis(500);

  /** Time after which no second contains a send that follows a ranking of an earlier leader. */
  static final Duration NEW_LEADER_WAIT = MIN_RANKING_TIME.plus(MAX_CONFIRMED_AGE);

  private final Instant ranksFrom;
  private Map<String, Integer> ranking = Map.of();
  private Instant rankedAt = Instant.MIN;

  private EntryRanks(Instant ranksFrom) {
    this.ranksFrom = ranksFrom;
  }

  /**
   * Creates the ranks of a new leadership, which begin when those of an earlier one have expired.
   */
  public static EntryRanks ofLeaderSince(Instant since) {
    return new EntryRanks(since.plus(NEW_LEADER_WAIT));
  }

  /**
   * Returns the rank of an instance; empty if it has none yet.
   *
   * @param live names of the live entry instances; called only when they may be ranked again
   * @param confirmedAge time since a quorum confirmed the leadership
   */
  public Optional<EntryRank> rank(
      String instance, Supplier<Set<String>> live, Duration confirmedAge, Instant now) {
    if (now.isBefore(ranksFrom) || confirmedAge.compareTo(MAX_CONFIRMED_AGE) > 0) {
      return Optional.empty();
    }
    if (rankedAt.equals(Instant.MIN) || !now.isBefore(rankedAt.plus(MIN_RANKING_TIME))) {
      rankAgain(live.get(), now);
    }
    return Optional.ofNullable(ranking.get(instance))
        .map(rank -> EntryRank.of(rank, ranking.size()));
  }

  private void rankAgain(Set<String> live, Instant now) {
    if (live.equals(ranking.keySet())) {
      return;
    }
    Map<String, Integer> next = new HashMap<>();
    for (String instance : new TreeSet<>(live)) {
      next.put(instance, next.size());
    }
    ranking = next;
    rankedAt = now;
  }
}
