package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.internal.routing.RendezvousHash;
import org.geraniumwharf.schema.objects.EngineCapacity;

/**
 * The inputs of one placement decision, and what the rules derive from them for all targets. Not
 * safe for use by several threads.
 */
public final class PlacementQuery {

  private final ResolvedRequest request;
  private final List<RelayTarget> targets;
  private final Set<String> tried;
  private final int instances;
  private final int storedTokens;
  private final EngineRates rates;
  private final Instant now;
  private final boolean isGeneration;
  private final Optional<EngineCapacity> engine;
  private final long footprint;
  private final PartKeys partKeys;
  private final long requestKey;
  private String preferred = "";
  private int sharedTokens = -1;

  /**
   * Creates a query.
   *
   * @param targets targets of the service of the request
   * @param tried ids of the targets that the request was already sent to
   * @param instances number of live entry instances, including this one
   * @param storedTokens tokens at the start of the prompt that cache stores hold
   * @param rates rates of the engines; unused for a request that is no generation
   */
  public PlacementQuery(
      ResolvedRequest request,
      List<RelayTarget> targets,
      Set<String> tried,
      int instances,
      int storedTokens,
      EngineRates rates,
      Instant now) {
    this.request = request;
    this.targets = targets;
    this.tried = tried;
    this.instances = instances;
    this.storedTokens = storedTokens;
    this.rates = rates;
    this.now = now;
    this.isGeneration = request.isGeneration();
    this.engine = request.service().engine();
    this.footprint = request.footprint();
    this.partKeys = new PartKeys(request);
    this.requestKey = RendezvousHash.keyOf(request.request().id());
  }

  public ResolvedRequest request() {
    return request;
  }

  public List<RelayTarget> targets() {
    return targets;
  }

  public Set<String> tried() {
    return tried;
  }

  public int instances() {
    return instances;
  }

  public int storedTokens() {
    return storedTokens;
  }

  public EngineRates rates() {
    return rates;
  }

  public Instant now() {
    return now;
  }

  /** Returns whether the request is a generation. */
  boolean isGeneration() {
    return isGeneration;
  }

  /** Returns the capacity of the engines of the service; empty if it has none. */
  Optional<EngineCapacity> engine() {
    return engine;
  }

  /** Returns the tokens that the request may occupy in the memory of its target. */
  long footprint() {
    return footprint;
  }

  PartKeys partKeys() {
    return partKeys;
  }

  /** Returns a hash of the id of the request. */
  long requestKey() {
    return requestKey;
  }

  /** Returns the tokens of the parts of the prompt that other requests share. */
  int sharedTokens() {
    if (sharedTokens < 0) {
      sharedTokens = 0;
      for (PromptPart part : request.sharedParts()) {
        sharedTokens += part.tokens();
      }
    }
    return sharedTokens;
  }

  /**
   * Returns whether rendezvous hashing prefers a target for the context of a generation, so that
   * instances agree without communicating.
   */
  boolean isPreferred(RelayTarget target) {
    if (preferred.isEmpty() && isGeneration) {
      preferred = findPreferred();
    }
    return target.id().equals(preferred);
  }

  private String findPreferred() {
    List<PromptPart> shared = request.sharedParts();
    long key = RendezvousHash.keyOf(shared.get(shared.size() - 1).id());
    String found = "";
    long greatest = Long.MIN_VALUE;
    for (RelayTarget target : targets) {
      long weight = RendezvousHash.weight(target.hash(), key);
      if (found.isEmpty() || weight > greatest) {
        found = target.id();
        greatest = weight;
      }
    }
    return found;
  }
}
