package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * A relayed request as received, before it is resolved and placed. Its body stays opaque.
 *
 * @param id request id
 * @param method HTTP method
 * @param host requested host, without a port
 * @param path path without the query
 * @param key opaque key of the caller, if it sent one
 * @param callerTimeout time for which the caller waits, if it sent one
 * @param model requested model, if any
 * @param prompt parts of the prompt, in order
 * @param promptTokens tokens of the prompt
 * @param outputTokens upper bound of the generated tokens
 * @param lastEventId id of the stream event after which the caller resumes, if any
 * @param arrivedAt estimated time from which the caller has been waiting; timeouts count from it
 */
public record RelayRequest(
    String id,
    String method,
    String host,
    String path,
    Optional<String> key,
    Optional<Duration> callerTimeout,
    Optional<String> model,
    List<PromptPart> prompt,
    int promptTokens,
    int outputTokens,
    Optional<String> lastEventId,
    Instant arrivedAt) {

  public RelayRequest {
    prompt = List.copyOf(prompt);
  }

  /**
   * Returns the deadline of the request: the end of the timeout of the caller or of the timeout
   * given here, whichever is earlier.
   */
  public Instant deadline(long timeoutMillis) {
    Instant timeout = arrivedAt.plusMillis(timeoutMillis);
    Instant callerDeadline = callerTimeout.map(arrivedAt::plus).orElse(timeout);
    return callerDeadline.isBefore(timeout) ? callerDeadline : timeout;
  }
}
