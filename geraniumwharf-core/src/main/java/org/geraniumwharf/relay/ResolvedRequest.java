package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.objects.Execution;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.RelayRoute;
import org.geraniumwharf.schema.objects.RelayService;

/**
 * A request whose route, caller and service are known.
 *
 * @param request the request
 * @param route route that it takes
 * @param service service that answers it
 * @param organisation organisation of its caller; empty on open routes
 * @param deadline time after which nobody waits for it
 */
public record ResolvedRequest(
    RelayRequest request,
    RelayRoute route,
    RelayService service,
    Optional<Organisation> organisation,
    Instant deadline) {

  /** Rank among the requests that wait, 0 first: that of its organisation, else of its route. */
  public int priority() {
    return organisation.flatMap(Organisation::priority).orElse(route.priority());
  }

  /** Rank among requests of the same {@link #priority}, 0 first. */
  public int subPriority() {
    return route.priority();
  }

  /** Tells whether it may run again after a run that failed or whose end is not known. */
  public boolean isRetryable() {
    return route.execution() == Execution.IDEMPOTENT || isResumable();
  }

  public boolean isStream() {
    return route.execution() == Execution.STREAM;
  }

  public boolean isResumable() {
    return isStream() && route.resumable();
  }

  /** Tells whether the service runs prompts, whose kept cache decides where they are cheap. */
  public boolean isGeneration() {
    return service.engine().isPresent() && !request.prompt().isEmpty();
  }

  /**
   * Returns the name that separates kept cache which must not be shared: that of other weights, and
   * that of an organisation that stays apart.
   */
  public String cacheScope(RelayTarget target) {
    String owner =
        organisation.filter(Organisation::isolated).map(found -> "-" + found.name()).orElse("");
    return "v" + target.weightsVersion() + owner;
  }

  /** Returns the parts that other requests of the same context share. */
  public List<PromptPart> sharedParts() {
    List<PromptPart> parts = request.prompt();
    return parts.size() < 2 ? parts : parts.subList(0, parts.size() - 1);
  }

  /** Returns tokens that the request occupies at its target while it runs. */
  public long footprint() {
    return (long) request.promptTokens() + request.outputTokens();
  }
}
