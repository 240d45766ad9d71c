package org.geraniumwharf.internal.serving;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.metrics.DaemonMetrics;
import org.geraniumwharf.internal.target.ServiceClient;
import org.geraniumwharf.internal.target.TargetAnswer;
import org.geraniumwharf.internal.target.TargetCallException;
import org.geraniumwharf.internal.target.TargetHeaders;
import org.geraniumwharf.internal.target.TargetRequest;
import org.geraniumwharf.routing.RoutableTarget;
import org.geraniumwharf.routing.RoutingPolicy;
import org.geraniumwharf.routing.RoutingRequest;
import org.geraniumwharf.routing.TargetLoadTable;
import org.geraniumwharf.schema.objects.Service;

/** Dispatches requests to plain services and sends their answers to the callers. */
public final class ServiceDispatcher {

  private static final int TOKENS_PER_CALL = 1;

  private final AdmissionGate gate;
  private final TargetChooser chooser;
  private final RoutingPolicy policy;
  private final ServiceClient services;
  private final RunGuard runs;
  private final RetryPolicy retries;
  private final TargetLoadTable load;
  private final FleetViewHolder fleet;
  private final DaemonMetrics metrics;
  private final InstantSource clock;

  private ServiceDispatcher(
      AdmissionGate gate,
      TargetChooser chooser,
      RoutingPolicy policy,
      ServiceClient services,
      RunGuard runs,
      RetryPolicy retries,
      TargetLoadTable load,
      FleetViewHolder fleet,
      DaemonMetrics metrics,
      InstantSource clock) {
    this.gate = gate;
    this.chooser = chooser;
    this.policy = policy;
    this.services = services;
    this.runs = runs;
    this.retries = retries;
    this.load = load;
    this.fleet = fleet;
    this.metrics = metrics;
    this.clock = clock;
  }

  public static ServiceDispatcher create(
      AdmissionGate gate,
      TargetChooser chooser,
      RoutingPolicy policy,
      ServiceClient services,
      RunGuard runs,
      RetryPolicy retries,
      TargetLoadTable load,
      FleetViewHolder fleet,
      DaemonMetrics metrics,
      InstantSource clock) {
    return new ServiceDispatcher(
        gate, chooser, policy, services, runs, retries, load, fleet, metrics, clock);
  }

  /** Path below the route, content type and body of a request. */
  public static final class ServiceRequest {

    private final String path;
    private final String contentType;
    private final byte[] body;

    private ServiceRequest(String path, String contentType, byte[] body) {
      this.path = path;
      this.contentType = contentType;
      this.body = body;
    }

    /**
     * Creates a request.
     *
     * @param path path and query below the route, with a leading slash
     * @param body not copied; the caller does not change it
     */
    public static ServiceRequest of(String path, String contentType, byte[] body) {
      return new ServiceRequest(path, contentType, body);
    }

    private byte[] fingerprintContent() {
      ByteArrayOutputStream content = new ByteArrayOutputStream();
      content.writeBytes(path.getBytes(StandardCharsets.UTF_8));
      content.write('\n');
      content.writeBytes(body);
      return content.toByteArray();
    }
  }

  /**
   * Serves one request; blocks until the answer is sent.
   *
   * @param idempotencyKey key set by the caller; required if the route is not idempotent
   * @throws ServingException if no target answers
   * @throws CallerDisconnectedException if the caller disconnected
   */
  public void serve(
      RequestContext request, ServiceRequest call, Optional<String> idempotencyKey, AnswerSink sink)
      throws ServingException, CallerDisconnectedException {
    Service service =
        request
            .route()
            .service()
            .flatMap(request.fleet().configuration()::service)
            .orElseThrow(() -> ServingErrors.unknownRoute(request.route().name()));
    TargetAnswer answer;
    try (AdmissionGate.Permit permit = gate.acquire(request, TOKENS_PER_CALL)) {
      retries.recordFirstAttempt(request);
      answer = dispatch(request, call, service, idempotencyKey);
    }
    try {
      sink.sendWhole(answer.status(), answer.contentType(), answer.body());
    } catch (IOException e) {
      throw new CallerDisconnectedException(e);
    }
  }

  private TargetAnswer dispatch(
      RequestContext request, ServiceRequest call, Service service, Optional<String> idempotencyKey)
      throws ServingException {
    Map<String, String> headers = new HashMap<>();
    headers.put(TargetHeaders.ORGANISATION, request.organisation().name());
    idempotencyKey.ifPresent(key -> headers.put("Idempotency-Key", key));
    if (request.route().idempotent()) {
      return sendWithRetries(request, call, service, headers);
    }
    String key =
        idempotencyKey.orElseThrow(
            () -> ServingErrors.idempotencyKeyRequired(request.route().name()));
    return runs.run(
        request,
        key,
        call.fingerprintContent(),
        () -> sendWithRetries(request, call, service, headers));
  }

  private TargetAnswer sendWithRetries(
      RequestContext request, ServiceRequest call, Service service, Map<String, String> headers)
      throws ServingException {
    boolean isIdempotent = request.route().idempotent();
    Set<String> excluded = new HashSet<>();
    for (int attempts = 1; ; attempts++) {
      TargetChooser.Choice choice = choose(request, service, excluded);
      TargetRequest target =
          TargetRequest.of(
              choice.target(),
              call.path,
              choice.attempt(),
              headers,
              call.body,
              call.contentType,
              request.timeLeft(clock.instant()));
      try (AttemptTracker tracker = AttemptTracker.start(load, metrics, clock, choice)) {
        return sendOnce(target, service, isIdempotent, tracker);
      } catch (TargetCallException e) {
        excluded.add(e.target());
        retries.awaitRetry(request, attempts, isIdempotent, e, clock.instant());
      }
    }
  }

  private TargetAnswer sendOnce(
      TargetRequest request, Service service, boolean isIdempotent, AttemptTracker tracker)
      throws TargetCallException {
    try {
      TargetAnswer answer =
          isIdempotent
              ? services.call(request, service.maxAnswerBytes())
              : services.callOnce(request, service.maxAnswerBytes());
      tracker.recordSuccess();
      return answer;
    } catch (TargetCallException e) {
      tracker.recordFailure();
      throw e;
    }
  }

  private TargetChooser.Choice choose(RequestContext request, Service service, Set<String> excluded)
      throws ServingException {
    List<RoutableTarget> targets = fleet.current().services(service.name());
    boolean isEveryTried = targets.stream().allMatch(target -> excluded.contains(target.id()));
    RoutingRequest routing =
        RoutingRequest.of(
            request.id(), List.of(), 1, TOKENS_PER_CALL, isEveryTried ? Set.of() : excluded);
    return chooser.choose(request, policy, routing, targets, Optional.empty());
  }
}
