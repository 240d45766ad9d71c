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
  private static final double FETCHED_TOKENS_PER_MILLI = 240;

  /** Time that an engine needs for a request besides reading its prompt, ms. */
  private static final double MILLIS_PER_START = 10;

  /** Time that one more running request costs another, ms. */
  private static final double MILLIS_PER_RUNNING = 2;

  /** Time that a request under way at a plain target costs the next one, ms. */
  private static final double MILLIS_PER_PLAIN = 20;

  /** Share of a context that its home is expected to keep although this instance never sent it. */
  private static final double HOME_EXPECTATION = 0.6;

  /** Time that a request loses at an engine whose whole memory is occupied, ms. */
  private static final double MILLIS_PER_FILLING = 150;

  /** Fewest targets that a request compares, besides those that keep its context. */
  private static final int MIN_COMPARED = 3;

  /** Targets compared, relative to the targets that each instance has for itself in the mean. */
  private static final int COMPARED_PER_SHARE = 2;

  /** Way to a target in another data centre and back, ms. */
  private static final double OTHER_DATA_CENTRE_MILLIS = 2;

  /** Plain targets whose estimates differ by less than this count as equal, ms. */
  private static final double SPREAD_MILLIS = 25;

  private final String dataCentre;

  private RelayPlacement(String dataCentre) {
    this.dataCentre = dataCentre;
  }

  /**
   * Creates the policy of an instance.
   *
   * @param dataCentre where the instance stands
   */
  public static RelayPlacement in(String dataCentre) {
    return new RelayPlacement(dataCentre);
  }

  /**
   * A chosen target.
   *
   * @param target the target
   * @param cost estimated time that it costs the request, ms
   * @param keptTokens tokens of the prompt that the target probably keeps
   * @param storedTokens tokens at the start of the prompt that cache stores hold
   * @param firstTokenMillis time that the target needs for its first token alone, ms
   * @param load what was under way there
   */
  public record Choice(
      RelayTarget target,
      double cost,
      int keptTokens,
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
      RelayWork work,
      List<RelayTarget> targets,
      RelayLoadTable table,
      int storedTokens,
      Set<String> excluded,
      int instances,
      Instant now) {
    String home = home(work, targets);
    List<Choice> open = new ArrayList<>();
    for (RelayTarget target : targets) {
      RelayLoadTable.Load load = table.load(target, work, now);
      if (!excluded.contains(target.id()) && !load.isResting()) {
        evaluate(work, target, home, load, storedTokens, instances).ifPresent(open::add);
      }
    }
    return compared(work, open, home, instances).min(Comparator.comparingDouble(Choice::cost));
  }

  /**
   * Returns the cheapest target that has room, whether or not it rests, for a request that would be
   * lost otherwise: an answer that has begun can neither wait nor be refused.
   */
  public Optional<Choice> chooseEvenResting(
      RelayWork work,
      List<RelayTarget> targets,
      RelayLoadTable table,
      Set<String> excluded,
      int instances,
      Instant now) {
    String home = home(work, targets);
    return targets.stream()
        .filter(target -> !excluded.contains(target.id()))
        .map(target -> evaluate(work, target, home, table.load(target, work, now), 0, instances))
        .flatMap(Optional::stream)
        .min(Comparator.comparingDouble(Choice::cost));
  }

  /** A choice with its place in the order that the hash of a request gives the targets. */
  private record Drawn(Choice choice, double turn) {}

  /** The fewer instances there are, the less of the load is unknown to this one. */
  private static Stream<Choice> compared(
      RelayWork work, List<Choice> open, String home, int instances) {
    int share = COMPARED_PER_SHARE * open.size() / Math.max(1, instances);
    int most = Math.max(MIN_COMPARED, 1 + share);
    if (!work.isGeneration() || open.size() <= most) {
      return open.stream();
    }
    long key = RendezvousHash.keyOf(work.request().id());
    Stream<Choice> drawn =
        open.stream()
            .map(choice -> new Drawn(choice, turn(choice.target(), key)))
            .sorted(Comparator.comparingDouble(Drawn::turn))
            .limit(most)
            .map(Drawn::choice);
    Stream<Choice> keeping =
        open.stream()
            .filter(
                choice ->
                    choice.target().id().equals(home)
                        || choice.keptTokens() > choice.storedTokens());
    return Stream.concat(drawn, keeping);
  }

  private Optional<Choice> evaluate(
      RelayWork work,
      RelayTarget target,
      String home,
      RelayLoadTable.Load load,
      int storedTokens,
      int instances) {
    if (!RelayShare.hasRoom(work, target, load, instances)) {
      return Optional.empty();
    }
    double distance = target.dataCentre().equals(dataCentre) ? 0 : OTHER_DATA_CENTRE_MILLIS;
    double own = work.isGeneration() ? firstToken(work, target, home, load, storedTokens) : 0;
    double others = work.isGeneration() ? atEngine(work, load) : plain(work, target, load);
    return Optional.of(
        new Choice(
            target,
            distance + own + others,
            load.keptTokens(),
            storedTokens,
            Math.round(own),
            load));
  }

  private static double plain(RelayWork work, RelayTarget target, RelayLoadTable.Load load) {
    long key = RendezvousHash.keyOf(work.request().id());
    return load.inFlight() * MILLIS_PER_PLAIN + SPREAD_MILLIS * turn(target, key);
  }

  /** Returns a number from 0 to 1 that differs between requests and targets. */
  private static double turn(RelayTarget target, long requestKey) {
    return RendezvousHash.fraction(weight(target, requestKey));
  }

  /** Estimates the time that a target needs for the first token of a request alone, ms. */
  private static double firstToken(
      RelayWork work, RelayTarget target, String home, RelayLoadTable.Load load, int storedTokens) {
    double fetched = Math.max(0, storedTokens - load.keptTokens());
    double missing = work.request().promptTokens() - load.keptTokens() - fetched;
    if (target.id().equals(home)) {
      int shared = work.sharedParts().stream().mapToInt(PromptPart::tokens).sum();
      int known = Math.max(storedTokens, load.keptTokens());
      missing -= HOME_EXPECTATION * Math.max(0, shared - known);
    }
    return MILLIS_PER_START
        + missing / PREFILL_TOKENS_PER_MILLI
        + fetched / FETCHED_TOKENS_PER_MILLI;
  }

  /** Estimates the time that a request loses to the others at an engine, ms. */
  private static double atEngine(RelayWork work, RelayLoadTable.Load load) {
    EngineCapacity engine = work.service().engine().orElseThrow();
    return load.backlogMillis()
        + load.inFlight() * MILLIS_PER_RUNNING
        + MILLIS_PER_FILLING * load.footprint() / engine.cacheTokens();
  }

  private static String home(RelayWork work, List<RelayTarget> targets) {
    if (!work.isGeneration()) {
      return "";
    }
    List<PromptPart> shared = work.sharedParts();
    long key = RendezvousHash.keyOf(shared.get(shared.size() - 1).id());
    String home = "";
    long greatest = Long.MIN_VALUE;
    for (RelayTarget target : targets) {
      long weight = weight(target, key);
      if (home.isEmpty() || weight > greatest) {
        home = target.id();
        greatest = weight;
      }
    }
    return home;
  }

  private static long weight(RelayTarget target, long key) {
    return RendezvousHash.weight(RendezvousHash.keyOf(target.id()), key);
  }
}
