package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/** Limits the time within which requests may begin at a target. */
public interface BeginLimit {

  /**
   * Returns the time within which a request that is sent now must begin at a target; empty if there
   * is no limit, zero if none may begin any more.
   */
  Optional<Duration> timeLeft(RelayTarget target, Instant now);

  /** Returns a limit that allows every request. */
  static BeginLimit none() {
    return (target, now) -> Optional.empty();
  }
}
