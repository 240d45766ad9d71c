package org.geraniumwharf.internal.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.relay.CacheTransfers;
import org.geraniumwharf.relay.RelayRequest;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.relay.RelayWork;

/** How callers and targets of relayed requests write what the relay has to know. */
public interface RelayProtocol {

  /**
   * Reads the head of a caller's request.
   *
   * @throws ServingException if it is malformed
   */
  RelayRequest readRequest(HttpRequest head, Instant now) throws ServingException;

  /** Returns the headers with which a request is sent to a target. */
  HttpHeaders targetHeaders(HttpHeaders fromCaller, ForwardedRequest sending);

  /**
   * One request as it is sent to one target.
   *
   * @param work the request
   * @param target where it is sent
   * @param timeout time that the target may take
   * @param lastEventId last event that the caller already has, where a stream goes on
   * @param transfers what the target exchanges with cache stores
   */
  record ForwardedRequest(
      RelayWork request,
      RelayTarget target,
      Duration timeout,
      Optional<String> lastEventId,
      CacheTransfers transfers) {}

  /** Reads the head of a target's answer. */
  TargetResponse readResponse(HttpResponse head);

  /** Returns the headers with which an answer is passed on to the caller. */
  HttpHeaders callerHeaders(HttpHeaders fromTarget);

  /** Returns the headers of an answer that the relay gives by itself. */
  HttpHeaders errorHeaders(RelayRequest request, ServingException error);
}
