package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.internal.routing.RendezvousHash;
import org.geraniumwharf.schema.objects.EngineCapacity;

/**
 * Chooses the target of a request by the estimated time until it answers: prompt that has to be
 * read there, and the work that is already there. Requests with a context that no target is known
 * to keep go to the home that a hash of the context names, so that instances agree without talking.
 */
public final class RelayPlacement {

  private static final double PREFILL_TOKENS_PER_MILLI = 140;
  private static final double FETCHED_TOKENS_PER_MILLI = 240;

  /** Time that one more running request costs another, ms. */
  private static final double MILLIS_PER_RUNNING = 3;

  private static final double MILLIS_PER_PLAIN = 20;

  /** Share of a context that its home is expected to keep although this instance never sent it. */
  private static final double HOME_EXPECTATION = 0.6;

  /** Time that a request loses at an engine whose whole memory is occupied, ms. */
  private static final double MILLIS_PER_FILLING = 300;

  private static final double OTHER_DATA_CENTRE_MILLIS = 2;

  /** Estimates that differ by less than this count as equal, ms. */
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
   * @param inFlight requests of this instance that were under way there
   */
  public record Choice(
      RelayTarget target, double cost, int keptTokens, int storedTokens, int inFlight) {}

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
    return targets.stream()
        .filter(target -> !excluded.contains(target.id()))
        .map(
            target ->
                evaluate(
                    work, target, home, table.load(target, work, now), storedTokens, instances))
        .flatMap(Optional::stream)
        .min(Comparator.comparingDouble(Choice::cost));
  }

  private Optional<Choice> evaluate(
      RelayWork work,
      RelayTarget target,
      String home,
      RelayLoadTable.Load load,
      int storedTokens,
      int instances) {
    if (load.isResting() || !RelayShare.hasRoom(work, target, load, instances)) {
      return Optional.empty();
    }
    double cost = target.dataCentre().equals(dataCentre) ? 0 : OTHER_DATA_CENTRE_MILLIS;
    cost +=
        work.isGeneration()
            ? generation(work, target, home, load, storedTokens)
            : plain(work, target, load);
    return Optional.of(new Choice(target, cost, load.keptTokens(), storedTokens, load.inFlight()));
  }

  private static double plain(RelayWork work, RelayTarget target, RelayLoadTable.Load load) {
    return load.inFlight() * MILLIS_PER_PLAIN + SPREAD_MILLIS * turn(work, target);
  }

  /**
   * Returns a number from 0 to 1 that differs between requests and targets. What instances know of
   * each other is some hundred ms old; without it all would choose the same target until the next
   * word.
   */
  private static double turn(RelayWork work, RelayTarget target) {
    return RendezvousHash.fraction(weight(work.request().id(), target.id()));
  }

  private static double generation(
      RelayWork work, RelayTarget target, String home, RelayLoadTable.Load load, int storedTokens) {
    double fetched = Math.max(0, storedTokens - load.keptTokens());
    double missing = work.request().promptTokens() - load.keptTokens() - fetched;
    if (target.id().equals(home)) {
      int shared = work.sharedParts().stream().mapToInt(PromptPart::tokens).sum();
      int known = Math.max(storedTokens, load.keptTokens());
      missing -= HOME_EXPECTATION * Math.max(0, shared - known);
    }
    double cost = missing / PREFILL_TOKENS_PER_MILLI + fetched / FETCHED_TOKENS_PER_MILLI;
    cost += load.inFlight() * MILLIS_PER_RUNNING;
    EngineCapacity engine = work.service().engine().orElseThrow();
    cost += SPREAD_MILLIS * turn(work, target);
    return cost + MILLIS_PER_FILLING * load.footprint() / engine.cacheTokens();
  }

  private static String home(RelayWork work, List<RelayTarget> targets) {
    if (!work.isGeneration()) {
      return "";
    }
    List<PromptPart> shared = work.sharedParts();
    String context = shared.get(shared.size() - 1).id();
    return targets.stream()
        .map(RelayTarget::id)
        .max(Comparator.comparingLong(id -> weight(context, id)))
        .orElse("");
  }

  private static long weight(String context, String target) {
    return RendezvousHash.keyOf(context + '@' + target);
  }
}
