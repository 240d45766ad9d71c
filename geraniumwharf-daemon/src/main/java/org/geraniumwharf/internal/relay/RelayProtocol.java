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
import org.geraniumwharf.relay.ResolvedRequest;

/** Translates between the headers of callers and targets and the model of the relay. */
public interface RelayProtocol {

  /**
   * Parses the head of a caller's request.
   *
   * @param now time of arrival of the request
   * @throws ServingException if it is malformed
   */
  RelayRequest readRequest(HttpRequest head, Instant now) throws ServingException;

  /** Returns the headers of a request as it is forwarded to a target. */
  HttpHeaders targetHeaders(HttpHeaders fromCaller, ForwardedRequest request);

  /**
   * A request as it is forwarded to one target.
   *
   * @param request resolved request
   * @param target target that receives the request
   * @param timeout time that the target may take
   * @param lastEventId id of the last event that the caller has received, if a stream is resumed
   * @param transfers parts that the target fetches from or saves to cache stores
   */
  record ForwardedRequest(
      ResolvedRequest request,
      RelayTarget target,
      Duration timeout,
      Optional<String> lastEventId,
      CacheTransfers transfers) {}

  /** Parses the head of a target's response. */
  TargetResponse readResponse(HttpResponse head);

  /** Returns the receipt that a target gave for the execution of a request. */
  Optional<String> receipt(HttpHeaders fromTarget);

  /** Returns the headers with which a target's response is forwarded to the caller. */
  HttpHeaders callerHeaders(HttpHeaders fromTarget);

  /** Returns the headers of an error response that the relay itself generates. */
  HttpHeaders errorHeaders(RelayRequest request, ServingException error);
}
