package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * What is known of a relayed request before it is placed. The body stays opaque.
 *
 * @param id id of this attempt of the caller
 * @param method HTTP method
 * @param host host that was asked for, without a port
 * @param path path without the query
 * @param key opaque key of the caller
 * @param callerTimeout time that the caller waits, if it said so
 * @param model model that is asked for
 * @param prompt parts of the prompt, in order
 * @param promptTokens tokens of the prompt
 * @param outputTokens most tokens that are generated
 * @param lastEventId event of a stream after which the caller wants to go on
 * @param arrivedAt time from which its caller waits, as far as this instance can tell
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

  /** Returns the time at which neither the caller nor the operator wants it to go on. */
  public Instant deadline(long timeoutMillis) {
    Instant timeout = arrivedAt.plusMillis(timeoutMillis);
    Instant given = callerTimeout.map(arrivedAt::plus).orElse(timeout);
    return given.isBefore(timeout) ? given : timeout;
  }
}
