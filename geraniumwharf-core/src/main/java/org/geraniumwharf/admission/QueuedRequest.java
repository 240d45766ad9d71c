package org.geraniumwharf.admission;

import java.time.Instant;

/**
 * Request that waits for admission.
 *
 * @param id id of the request
 * @param organisation name of the organisation
 * @param weight weight of the organisation in fair queueing
 * @param cost expected cost, in tokens
 * @param arrival time at which it was offered to admission control
 * @param deadline time by which it must be dispatched
 */
public record QueuedRequest(
    String id, String organisation, double weight, double cost, Instant arrival, Instant deadline) {

  public static QueuedRequest of(
      String id,
      String organisation,
      double weight,
      double cost,
      Instant arrival,
      Instant deadline) {
    return new QueuedRequest(id, organisation, weight, cost, arrival, deadline);
  }
}
