package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.geraniumwharf.internal.routing.RendezvousHash;
import org.geraniumwharf.schema.objects.EngineCapacity;

/**
 * Chooses the target of a request by the estimated time until it answers: prompt that has to be
 * read there, and the work that is already there. Requests with a context that no target is known
 * to keep go to the home that a hash of the context names, so that instances agree without talking.
 *
 * <p>Answers load that comes in clumps: what instances know of each other is some hundred ms old,
 * and a target that looks idle to all of them would get everything that arrives meanwhile. Each
 * request therefore compares only a few targets that a hash of its own id names, besides those that
 * keep its context.
 */
public final class RelayPlacement {

  /** Prompt that an engine reads, tokens in a ms, as the operators of the engines state it. */
  private static final double PREFILL_TOKENS_PER_MILLI = 140;

  /** Kept cache that a link of the stated bandwidth carries to an engine, tokens in a ms. */
  private static final double FETCH_TOKENS_PER_MILLI = 240;

  /** Time that an engine needs for a request besides reading its prompt, ms. */
  private static final double FIRST_TOKEN_OVERHEAD_MILLIS = 10;

  /** Time that one more running request costs another, ms. */
  private static final double MILLIS_PER_RUNNING_REQUEST = 2;

  /** Time that a request under way at a plain target costs the next one, ms. */
  private static final double MILLIS_PER_PLAIN_REQUEST = 20;

  /** Share of a context that its home is expected to keep although this instance never sent it. */
  private static final double PREFERRED_TARGET_CACHED_SHARE = 0.6;

  /** Time that a request loses at an engine whose whole memory is occupied, ms. */
  private static final double FULL_MEMORY_MILLIS = 150;

  /** Fewest targets that a request compares, besides those that keep its context. */
  private static final int MIN_COMPARED_TARGETS = 3;

  /** Targets compared, relative to the targets that each instance has for itself in the mean. */
  private static final int COMPARED_TARGETS_FACTOR = 2;

  /** Way to a target in another data centre and back, ms. */
  private static final double OTHER_DATA_CENTRE_ROUND_TRIP_MILLIS = 2;

  /** Plain targets whose estimates differ by less than this count as equal, ms. */
  private static final double PLAIN_JITTER_MILLIS = 25;

  private final String dataCentre;

  private RelayPlacement(String dataCentre) {
    this.dataCentre = dataCentre;
  }

  /**
   * Creates the policy of an instance.
   *
   * @param dataCentre where the instance stands
   */
  public static RelayPlacement forDataCentre(String dataCentre) {
    return new RelayPlacement(dataCentre);
  }

  /**
   * A chosen target.
   *
   * @param target the target
   * @param costMillis estimated time that it costs the request, ms
   * @param cachedTokens tokens of the prompt that the target probably keeps
   * @param storedTokens tokens at the start of the prompt that cache stores hold
   * @param firstTokenMillis time that the target needs for its first token alone, ms
   * @param load what was under way there
   */
  public record Choice(
      RelayTarget target,
      double costMillis,
      int cachedTokens,
      int storedTokens,
      long firstTokenMillis,
      RelayLoadTable.Load load) {}

  /**
   * Returns the cheapest target that has room.
   *
   * @param storedTokens tokens at the start of the prompt that cache stores hold
   * @param excluded targets that this request has tried
   * @param instances live entry instances, this one among them
   */
  public Optional<Choice> choose(
      ResolvedRequest work,
      List<RelayTarget> targets,
      RelayLoadTable table,
      int storedTokens,
      Set<String> excluded,
      int instances,
      Instant now) {
    String home = preferredTarget(work, targets);
    List<Choice> open = new ArrayList<>();
    for (RelayTarget target : targets) {
      RelayLoadTable.Load load = table.load(target, work, now);
      if (!excluded.contains(target.id()) && !load.isEjected()) {
        evaluate(work, target, home, load, storedTokens, instances).ifPresent(open::add);
      }
    }
    return comparedChoices(work, open, home, instances)
        .min(Comparator.comparingDouble(Choice::costMillis));
  }

  /**
   * Returns the cheapest target that has room, whether or not it rests, for a request that would be
   * lost otherwise: an answer that has begun can neither wait nor be refused.
   */
  public Optional<Choice> chooseIncludingEjected(
      ResolvedRequest work,
      List<RelayTarget> targets,
      RelayLoadTable table,
      Set<String> excluded,
      int instances,
      Instant now) {
    String home = preferredTarget(work, targets);
    return targets.stream()
        .filter(target -> !excluded.contains(target.id()))
        .map(target -> evaluate(work, target, home, table.load(target, work, now), 0, instances))
        .flatMap(Optional::stream)
        .min(Comparator.comparingDouble(Choice::costMillis));
  }

  /** A choice with its place in the order that the hash of a request gives the targets. */
  private record RankedChoice(Choice choice, double rank) {}

  /** The fewer instances there are, the less of the load is unknown to this one. */
  private static Stream<Choice> comparedChoices(
      ResolvedRequest work, List<Choice> open, String home, int instances) {
    int share = COMPARED_TARGETS_FACTOR * open.size() / Math.max(1, instances);
    int most = Math.max(MIN_COMPARED_TARGETS, 1 + share);
    if (!work.isGeneration() || open.size() <= most) {
      return open.stream();
    }
    long key = RendezvousHash.keyOf(work.request().id());
    Stream<Choice> drawn =
        open.stream()
            .map(choice -> new RankedChoice(choice, hashFraction(choice.target(), key)))
            .sorted(Comparator.comparingDouble(RankedChoice::rank))
            .limit(most)
            .map(RankedChoice::choice);
    Stream<Choice> keeping =
        open.stream()
            .filter(
                choice ->
                    choice.target().id().equals(home)
                        || choice.cachedTokens() > choice.storedTokens());
    return Stream.concat(drawn, keeping);
  }

  private Optional<Choice> evaluate(
      ResolvedRequest work,
      RelayTarget target,
      String home,
      RelayLoadTable.Load load,
      int storedTokens,
      int instances) {
    if (!TargetCapacity.hasFreeCapacity(work, target, load, instances)) {
      return Optional.empty();
    }
    double distance =
        target.dataCentre().equals(dataCentre) ? 0 : OTHER_DATA_CENTRE_ROUND_TRIP_MILLIS;
    double own = work.isGeneration() ? firstTokenMillis(work, target, home, load, storedTokens) : 0;
    double others =
        work.isGeneration() ? engineLoadMillis(work, load) : plainLoadMillis(work, target, load);
    return Optional.of(
        new Choice(
            target,
            distance + own + others,
            load.cachedTokens(),
            storedTokens,
            Math.round(own),
            load));
  }

  private static double plainLoadMillis(
      ResolvedRequest work, RelayTarget target, RelayLoadTable.Load load) {
    long key = RendezvousHash.keyOf(work.request().id());
    return load.inFlight() * MILLIS_PER_PLAIN_REQUEST
        + PLAIN_JITTER_MILLIS * hashFraction(target, key);
  }

  /** Returns a number from 0 to 1 that differs between requests and targets. */
  private static double hashFraction(RelayTarget target, long requestKey) {
    return RendezvousHash.fraction(hashWeight(target, requestKey));
  }

  /** Estimates the time that a target needs for the first token of a request alone, ms. */
  private static double firstTokenMillis(
      ResolvedRequest work,
      RelayTarget target,
      String home,
      RelayLoadTable.Load load,
      int storedTokens) {
    double fetched = Math.max(0, storedTokens - load.cachedTokens());
    double missing = work.request().promptTokens() - load.cachedTokens() - fetched;
    if (target.id().equals(home)) {
      int shared = work.sharedParts().stream().mapToInt(PromptPart::tokens).sum();
      int known = Math.max(storedTokens, load.cachedTokens());
      missing -= PREFERRED_TARGET_CACHED_SHARE * Math.max(0, shared - known);
    }
    return FIRST_TOKEN_OVERHEAD_MILLIS
        + missing / PREFILL_TOKENS_PER_MILLI
        + fetched / FETCH_TOKENS_PER_MILLI;
  }

  /** Estimates the time that a request loses to the others at an engine, ms. */
  private static double engineLoadMillis(ResolvedRequest work, RelayLoadTable.Load load) {
    EngineCapacity engine = work.service().engine().orElseThrow();
    return load.backlogMillis()
        + load.inFlight() * MILLIS_PER_RUNNING_REQUEST
        + FULL_MEMORY_MILLIS * load.footprint() / engine.cacheTokens();
  }

  private static String preferredTarget(ResolvedRequest work, List<RelayTarget> targets) {
    if (!work.isGeneration()) {
      return "";
    }
    List<PromptPart> shared = work.sharedParts();
    long key = RendezvousHash.keyOf(shared.get(shared.size() - 1).id());
    String home = "";
    long greatest = Long.MIN_VALUE;
    for (RelayTarget target : targets) {
      long weight = hashWeight(target, key);
      if (home.isEmpty() || weight > greatest) {
        home = target.id();
        greatest = weight;
      }
    }
    return home;
  }

  private static long hashWeight(RelayTarget target, long key) {
    return RendezvousHash.weight(RendezvousHash.keyOf(target.id()), key);
  }
}
