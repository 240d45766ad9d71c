package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.objects.EngineCapacity;
import org.geraniumwharf.schema.objects.Execution;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.RelayRoute;
import org.geraniumwharf.schema.objects.RelayService;
import org.geraniumwharf.schema.objects.RouteSplit;

/** Creates requests, targets and configuration objects for tests. */
final class TestRequests {

  static final Instant NOW = Instant.ofEpochSecond(1000);
  static final EngineRates RATES = new EngineRates(140, 240);
  private static final int SLOTS = 48;
  private static final long CACHE_TOKENS = 100_000;

  private TestRequests() {}

  static RelayRoute route(String name, String prefix, Execution execution, int priority) {
    return RelayRoute.of(
        name,
        "quotes.example",
        prefix,
        List.of(RouteSplit.of("engines", 1)),
        execution,
        false,
        true,
        false,
        10_000,
        600,
        Optional.empty(),
        priority,
        2,
        List.of());
  }

  static ResolvedRequest plain(Execution execution) {
    RelayService service =
        RelayService.of("bookings", Optional.empty(), 96, Optional.empty(), Optional.empty());
    return resolved(service, execution, List.of(), Optional.empty());
  }

  static ResolvedRequest plain(String requestId) {
    return withRequestId(plain(Execution.IDEMPOTENT), requestId);
  }

  /** Returns the request with another id. */
  static ResolvedRequest withRequestId(ResolvedRequest resolved, String requestId) {
    RelayRequest request = resolved.request();
    RelayRequest copy =
        new RelayRequest(
            requestId,
            request.method(),
            request.host(),
            request.path(),
            request.key(),
            request.callerTimeout(),
            request.model(),
            request.prompt(),
            request.promptTokens(),
            request.outputTokens(),
            request.lastEventId(),
            request.arrivedAt());
    return new ResolvedRequest(
        copy,
        resolved.route(),
        resolved.service(),
        resolved.organisation(),
        resolved.sharing(),
        resolved.deadline());
  }

  /** Returns the request on a route whose responses are not streamed. */
  static ResolvedRequest unstreamed(ResolvedRequest resolved) {
    return new ResolvedRequest(
        resolved.request(),
        route("whole", "/whole/", Execution.IDEMPOTENT, 0),
        resolved.service(),
        resolved.organisation(),
        resolved.sharing(),
        resolved.deadline());
  }

  /** Returns the request with lists of allowed regions of its route and of its organisation. */
  static ResolvedRequest inRegions(
      ResolvedRequest resolved, List<String> ofRoute, List<String> ofOrganisation) {
    return new ResolvedRequest(
        resolved.request(),
        resolved.route().withAllowedRegions(ofRoute),
        resolved.service(),
        Optional.of(organisation("wanjiru", false).withAllowedRegions(ofOrganisation)),
        resolved.sharing(),
        resolved.deadline());
  }

  static ResolvedRequest generation(PromptPart... parts) {
    return generation(Optional.empty(), parts);
  }

  /** Returns a generation of a route, with the most tokens that it may generate. */
  static ResolvedRequest generation(
      String route, String requestId, int outputTokens, PromptPart... parts) {
    ResolvedRequest resolved = withRequestId(generation(parts), requestId);
    RelayRequest request = resolved.request();
    RelayRequest longer =
        new RelayRequest(
            requestId,
            request.method(),
            request.host(),
            request.path(),
            request.key(),
            request.callerTimeout(),
            request.model(),
            request.prompt(),
            request.promptTokens(),
            outputTokens,
            request.lastEventId(),
            request.arrivedAt());
    return new ResolvedRequest(
        longer,
        route(route, "/" + route + "/", Execution.STREAM, 0),
        resolved.service(),
        resolved.organisation(),
        resolved.sharing(),
        resolved.deadline());
  }

  static ResolvedRequest generation(Optional<Organisation> owner, PromptPart... parts) {
    EngineCapacity engine = EngineCapacity.of(SLOTS, CACHE_TOKENS, 131_072, 260_000, List.of("m"));
    RelayService service =
        RelayService.of("engines", Optional.empty(), 300, Optional.of(engine), Optional.empty());
    return resolved(service, Execution.STREAM, List.of(parts), owner);
  }

  static Organisation organisation(String name, boolean isIsolated) {
    return Organisation.of(
        name,
        List.of(),
        List.of(),
        1,
        Optional.empty(),
        List.of(RelayTable.digestOf("key-of-" + name)),
        Optional.empty(),
        isIsolated,
        List.of());
  }

  private static ResolvedRequest resolved(
      RelayService service,
      Execution execution,
      List<PromptPart> parts,
      Optional<Organisation> owner) {
    int tokens = parts.stream().mapToInt(PromptPart::tokens).sum();
    RelayRequest request =
        new RelayRequest(
            "request-1",
            "POST",
            "quotes.example",
            "/drafts/1",
            Optional.empty(),
            Optional.of(Duration.ofSeconds(8)),
            Optional.of("m"),
            parts,
            tokens,
            100,
            Optional.empty(),
            NOW);
    return new ResolvedRequest(
        request,
        route("drafts", "/drafts/", execution, 0),
        service,
        owner,
        CacheSharing.isolating(
            owner.stream().filter(Organisation::isolated).map(Organisation::name).toList()),
        NOW.plusSeconds(8));
  }

  static RelayTarget target(String id) {
    return target(id, "dc-1");
  }

  static RelayTarget target(String id, String dataCentre) {
    return new RelayTarget(id, 1, "10.0.0.1:80", dataCentre, SLOTS, "model", 1);
  }
}
