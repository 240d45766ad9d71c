package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.objects.Execution;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.RelayRoute;
import org.geraniumwharf.schema.objects.RelayService;

/**
 * A relayed request as resolved against the configuration.
 *
 * @param request the request as received
 * @param route route that matches the request
 * @param service service that handles the request
 * @param organisation organisation of the caller; empty for a caller without a known key
 * @param sharing who shares kept cache, by each configuration that the request has met
 * @param deadline time after which the request is given up
 */
public record ResolvedRequest(
    RelayRequest request,
    RelayRoute route,
    RelayService service,
    Optional<Organisation> organisation,
    CacheSharing sharing,
    Instant deadline) {

  /**
   * Returns the request as it may be sent under a later configuration. It shares kept cache with
   * none of those who are isolated there or were so when it arrived.
   */
  public ResolvedRequest sharingAlsoBy(CacheSharing later) {
    CacheSharing both = sharing.and(later);
    return both == sharing
        ? this
        : new ResolvedRequest(request, route, service, organisation, both, deadline);
  }

  /**
   * Returns the queue priority, 0 being the most urgent: that of the organisation if it has one,
   * else that of the route.
   */
  public int priority() {
    return organisation.flatMap(Organisation::priority).orElse(route.priority());
  }

  /** Returns the rank among requests of the same {@link #priority}, 0 being the most urgent. */
  public int subPriority() {
    return route.priority();
  }

  /**
   * Returns whether the request may be sent again after an attempt that failed or whose outcome is
   * unknown.
   */
  public boolean isRetryable() {
    return route.execution() == Execution.IDEMPOTENT || isResumable();
  }

  public boolean isStream() {
    return route.execution() == Execution.STREAM;
  }

  public boolean isResumable() {
    return isStream() && route.resumable();
  }

  /**
   * Returns whether the request is a generation: it has a prompt, its service runs engines, and the
   * cache of the engines decides where it is cheapest.
   */
  public boolean isGeneration() {
    return service.engine().isPresent() && !request.prompt().isEmpty();
  }

  /**
   * Returns the scope within which kept cache may be shared. Different versions of the weights
   * never share it, nor does an isolated organisation with any other, also not what one of the two
   * made before.
   */
  public String cacheScope(RelayTarget target) {
    return "v" + target.weightsVersion() + sharing.scopeOf(organisation);
  }

  /** Returns the leading parts of the prompt, which other requests of the same context share. */
  public List<PromptPart> sharedParts() {
    List<PromptPart> parts = request.prompt();
    return parts.size() < 2 ? parts : parts.subList(0, parts.size() - 1);
  }

  /** Returns the tokens that the request may occupy in the memory of its target while it runs. */
  public long footprint() {
    return (long) request.promptTokens() + request.outputTokens();
  }
}
