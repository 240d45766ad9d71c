package org.geraniumwharf.relay;

import java.time.Instant;

/**
 * Until when a process of a target is cold.
 *
 * @param incarnation incarnation of the process
 * @param until end by the clock of this instance
 */
public record ColdEnd(long incarnation, Instant until) {

  /** Returns the later one of two ends; that of a later process counts alone. */
  static ColdEnd later(ColdEnd one, ColdEnd other) {
    if (one.incarnation != other.incarnation) {
      return one.incarnation > other.incarnation ? one : other;
    }
    return one.until.isAfter(other.until) ? one : other;
  }
}
