package org.geraniumwharf.internal.relay;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumwharf.internal.fleet.ControlDirectory;
import org.geraniumwharf.relay.ColdTargets;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.schema.objects.RelayService;

/**
 * Asks a target whether it is cold before a request is sent to it, while this instance is out of
 * contact with control and its view may lack targets that became cold. Used on one event loop.
 */
final class ColdChecks {

  /** Age of the view above which the instance counts as out of contact. */
  private static final Duration MAX_VIEW_AGE = Duration.ofSeconds(2);

  /** Time for which the answer of a target counts. */
  private static final Duration VALIDITY = Duration.ofSeconds(1);

  /** Time after which the request is sent without an answer; targets answer in some ms. */
  private static final Duration TIMEOUT = Duration.ofMillis(300);

  private static final CompletableFuture<Void> NONE = CompletableFuture.completedFuture(null);

  private final BufferingHttpClient client;
  private final ColdTargets cold;
  private final InstantSource clock;
  private final Map<String, Check> checks = new HashMap<>();

  ColdChecks(BufferingHttpClient client, ColdTargets cold, InstantSource clock) {
    this.client = client;
    this.cold = cold;
    this.clock = clock;
  }

  /** A status check of a target. */
  private record Check(Instant startedAt, CompletableFuture<Void> done) {

    boolean isValid(Instant now) {
      return now.isBefore(startedAt.plus(VALIDITY));
    }
  }

  /**
   * Returns a future that completes on the event loop when a request may be sent; it is complete
   * already if the target need not be asked.
   *
   * @param viewAge time since the view was confirmed; empty if it never was
   */
  CompletableFuture<Void> beforeSend(
      RelayTarget target, RelayService service, Optional<Duration> viewAge, Instant now) {
    boolean isInContact = viewAge.filter(age -> age.compareTo(MAX_VIEW_AGE) <= 0).isPresent();
    if (isInContact || service.healthPath().isEmpty() || !cold.isLimited(service)) {
      return NONE;
    }
    checks.values().removeIf(check -> !check.isValid(now));
    return checks
        .computeIfAbsent(target.id(), id -> new Check(now, ask(target, service.healthPath().get())))
        .done();
  }

  private CompletableFuture<Void> ask(RelayTarget target, String path) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
    request.headers().set(HttpHeaderNames.HOST, target.address());
    return client
        .send(ControlDirectory.parseAddress(target.address()), request, TIMEOUT)
        .handle(
            (response, failure) -> {
              if (response != null) {
                cold.recordStated(target, response.notice().coldFor(), clock.instant());
              }
              return null;
            });
  }
}
