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
  private final boolean isRestrictedToRegions;
  private final Optional<EngineCapacity> engine;
  private final long footprint;
  private final PartKeys partKeys;
  private final long requestKey;
  private boolean isPreferredFound;
  private int preferredIndex = -1;
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
    this.isRestrictedToRegions = DataCentreRegions.isRestricted(request);
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

  /** Returns whether the route or the organisation of the request restricts it to regions. */
  boolean isRestrictedToRegions() {
    return isRestrictedToRegions;
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
   * Returns the index of the target that rendezvous hashing prefers for the context of a
   * generation, so that instances agree without communicating; -1 if there is none.
   */
  int preferredIndex() {
    if (!isPreferredFound) {
      isPreferredFound = true;
      preferredIndex = isGeneration ? findPreferred() : -1;
    }
    return preferredIndex;
  }

  /** Sets the index of the preferred target, which an earlier query for the context found. */
  void setPreferredIndex(int index) {
    isPreferredFound = true;
    preferredIndex = index;
  }

  /** Returns the id of the last part of a generation that other requests share. */
  String context() {
    List<PromptPart> shared = request.sharedParts();
    return shared.get(shared.size() - 1).id();
  }

  /** Returns whether a target is preferred for the context of a generation. */
  boolean isPreferred(RelayTarget target) {
    int index = preferredIndex();
    return index >= 0 && targets.get(index).id().equals(target.id());
  }

  private int findPreferred() {
    long key = RendezvousHash.keyOf(context());
    int found = -1;
    long greatest = Long.MIN_VALUE;
    for (int i = 0; i < targets.size(); i++) {
      long weight = RendezvousHash.weight(targets.get(i).hash(), key);
      if (found < 0 || weight > greatest) {
        found = i;
        greatest = weight;
      }
    }
    return found;
  }
}
