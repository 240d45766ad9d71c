package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.List;
import org.geraniumwharf.schema.objects.Organisation;

/**
 * What the queue knows of a request before it is sent.
 *
 * @param organisation name of the organisation; empty for a caller without a known key
 * @param kind name of the route
 * @param key last part of the prompt; empty without a prompt
 * @param priority 0 is the most urgent
 * @param subPriority rank among requests of the same priority, 0 being the most urgent
 * @param size tokens that it occupies at a target
 * @param work expected work of the target; within {@link #MIN_WORK} and {@link #MAX_WORK}
 * @param goalAt time until which its response, or the first token, is on time
 * @param deadline time after which its response is worth nothing
 * @param isDisplaceable whether it may be refused in favour of another one
 */
public record RequestProfile(
    String organisation,
    String kind,
    String key,
    int priority,
    int subPriority,
    long size,
    double work,
    Instant goalAt,
    Instant deadline,
    boolean isDisplaceable) {

  static final double MIN_WORK = 1;

  /** More than the memory of any engine; a caller that states more gains or harms nothing by it. */
  static final double MAX_WORK = 1e7;

  /**
   * Work of a generated token, in prompt tokens. An engine step takes about 4 ms for a batch of up
   * to 48 requests, the prefill of a prompt token 1/64 ms.
   */
  private static final double OUTPUT_TOKEN_WORK = 6;

  public RequestProfile {
    work = bounded(work);
  }

  /** Returns the nearest amount of work that a request can have; the least one for no number. */
  static double bounded(double work) {
    return work >= MIN_WORK ? Math.min(work, MAX_WORK) : MIN_WORK;
  }

  /**
   * Returns the profile of a request.
   *
   * @param isDisplaceable whether it may be refused in favour of another one
   */
  public static RequestProfile of(ResolvedRequest resolved, boolean isDisplaceable) {
    RelayRequest request = resolved.request();
    List<PromptPart> prompt = request.prompt();
    return new RequestProfile(
        resolved.organisation().map(Organisation::name).orElse(""),
        resolved.route().name(),
        prompt.isEmpty() ? "" : prompt.get(prompt.size() - 1).id(),
        resolved.priority(),
        resolved.subPriority(),
        resolved.footprint(),
        workOf(resolved),
        request.arrivedAt().plusMillis(resolved.route().goalMillis()),
        resolved.deadline(),
        isDisplaceable);
  }

  /**
   * Returns the profile of the rest of a response that has started, which is as urgent as a new
   * one.
   */
  public RequestProfile resumedAt(Instant now, long goalMillis) {
    return new RequestProfile(
        organisation,
        kind,
        key,
        priority,
        subPriority,
        size,
        work,
        now.plusMillis(goalMillis),
        deadline,
        isDisplaceable);
  }

  /** Returns the profile of a request of which only its urgency and size are known. */
  static RequestProfile of(int priority, long size, Instant deadline) {
    return new RequestProfile("", "", "", priority, 0, size, 1, deadline, deadline, false);
  }

  /** Returns the expected work of a request. */
  public static double workOf(ResolvedRequest resolved) {
    RelayRequest request = resolved.request();
    return resolved.isGeneration()
        ? Math.max(0, request.promptTokens())
            + OUTPUT_TOKEN_WORK * Math.max(0, request.outputTokens())
        : MIN_WORK;
  }
}
