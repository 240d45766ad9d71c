package org.geraniumwharf.internal.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.time.Duration;
import org.geraniumwharf.error.ErrorKind;

/** The daemon's metrics. */
public final class DaemonMetrics {

  private final MetricRegistry registry = new MetricRegistry();
  private final Counter requests = registry.counter("requests_total");
  private final Counter retries = registry.counter("retries_total");
  private final Counter hedges = registry.counter("hedges_total");
  private final Counter resumptions = registry.counter("resumptions_total");
  private final Counter contextTokens = registry.counter("context_tokens_total");
  private final Counter missingTokens = registry.counter("context_tokens_missing_total");
  private final Timer firstToken = registry.timer("first_token", DaemonMetrics::timer);
  private final Timer request = registry.timer("request", DaemonMetrics::timer);
  private final Timer decision = registry.timer("decision", DaemonMetrics::timer);
  private final Timer eventLoopLag = registry.timer("event_loop_lag", DaemonMetrics::timer);
  private final Counter abandonedRequests = registry.counter("abandoned_requests_total");
  private final Counter heldRequests = registry.counter("held_requests_total");
  private final Counter callersGoneUnsent = registry.counter("callers_gone_total.unsent");
  private final Counter callersGoneSent = registry.counter("callers_gone_total.sent");

  private final Counter quarantinedRequests = registry.counter("quarantined_requests_total");

  private final Counter weightsOverdue = registry.counter("weights_overdue_total.target");
  private final Counter weightsOverdueRequests = registry.counter("weights_overdue_total.request");
  private final Counter requestsRefusedAtLimit =
      registry.counter("requests_refused_at_limit_total");

  private final Counter requestsRefusedByRegion =
      registry.counter("requests_refused_by_region_total");

  private final Counter targetsLeaving = registry.counter("targets_closed_total.leaving");
  private final Counter targetsPaused = registry.counter("targets_closed_total.paused");

  private DaemonMetrics() {}

  /** The default one of the library takes a lock for each value, with the same distribution. */
  private static Timer timer() {
    return new Timer(LockFreeExponentiallyDecayingReservoir.builder().build());
  }

  public static DaemonMetrics create() {
    return new DaemonMetrics();
  }

  public void requestArrived() {
    requests.inc();
  }

  public void requestEnded(Duration duration) {
    request.update(duration);
  }

  public void requestFailed(ErrorKind kind) {
    registry.counter("errors_total." + kind.wireName()).inc();
  }

  /** Records a request that no target has executed and that this instance refused. */
  public void requestRefused(ErrorKind kind) {
    registry.counter("refused_total." + kind.wireName()).inc();
  }

  /** Records by how much an event loop lagged at a measurement. */
  public void eventLoopLagged(Duration lag) {
    eventLoopLag.update(lag);
  }

  /** Records requests that were read and not started, because their caller had disconnected. */
  public void requestsAbandoned(int count) {
    abandonedRequests.inc(count);
  }

  /** Records a request that is held until the first confirmed view. */
  public void requestHeld() {
    heldRequests.inc();
  }

  /**
   * Records a request that the queue refused.
   *
   * @param reason why it could not wait
   */
  public void queueRefused(String reason) {
    registry.counter("queue_refused_total." + reason).inc();
  }

  /** Records the time that a request was queued before it was sent. */
  public void queueWaited(String kind, Duration wait) {
    registry.timer("queue_wait." + kind, DaemonMetrics::timer).update(wait);
  }

  /**
   * Records that a caller disconnected while its request was in flight.
   *
   * @param isSent whether the request had been sent to a target
   */
  public void callerDisconnected(boolean isSent) {
    (isSent ? callersGoneSent : callersGoneUnsent).inc();
  }

  /** Records a request that was refused because a part of its prompt is quarantined. */
  public void requestQuarantined() {
    quarantinedRequests.inc();
  }

  /** Records a target that gets no further requests as its weights were replaced too long ago. */
  public void weightsOverdue() {
    weightsOverdue.inc();
  }

  /** Records a request that was refused because that holds for every target of its service. */
  public void requestWithoutUsableWeights() {
    weightsOverdueRequests.inc();
  }

  /** Records a request that was refused since no target is in a region that it may be served in. */
  public void requestRefusedByRegion() {
    requestsRefusedByRegion.inc();
  }

  /** Records a request that was refused since targets were at their limits of requests. */
  public void requestRefusedAtLimit() {
    requestsRefusedAtLimit.inc();
  }

  /**
   * Records that a target stated in a response that it wants no further requests.
   *
   * @param isLeaving whether it is leaving, as opposed to asking for a pause
   */
  public void targetClosed(boolean isLeaving) {
    (isLeaving ? targetsLeaving : targetsPaused).inc();
  }

  /**
   * Records bytes of a target that belong to no response.
   *
   * @param cause where they were found
   */
  public void unexpectedBytes(String cause) {
    registry.counter("unexpected_target_bytes_total." + cause).inc();
  }

  /**
   * Records a sound connection to a target that was not reused.
   *
   * @param cause why it was not
   */
  public void connectionNotReused(String cause) {
    registry.counter("unreused_target_connections_total." + cause).inc();
  }

  public void retried() {
    retries.inc();
  }

  public void hedged() {
    hedges.inc();
  }

  public void resumed() {
    resumptions.inc();
  }

  public void decided(Duration duration, int tokens, int missing) {
    decision.update(duration);
    contextTokens.inc(tokens);
    missingTokens.inc(missing);
  }

  public void firstToken(Duration duration) {
    firstToken.update(duration);
  }

  /** Registers a value that is read when the metrics are. */
  public void gauge(String name, Gauge<Number> gauge) {
    registry.registerGauge(name, gauge);
  }

  /** Returns every metric in the Prometheus text form. */
  public String prometheusText() {
    return PrometheusText.of(registry);
  }
}
