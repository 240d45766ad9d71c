package org.geraniumwharf.internal.fleet;

import java.time.Instant;
import java.util.List;
import org.geraniumwharf.schema.messages.TargetSpeed;
import org.geraniumwharf.schema.messages.TargetWork;

/** Relayed work that daemons tell each other of, by way of the leader. */
public interface WorkExchange {

  /** Returns the work that this daemon has under way. */
  List<TargetWork> own();

  /** Takes the work of all other live daemons together. */
  void others(List<TargetWork> work, Instant now);

  /** Returns the times of targets that were measured since this was asked last. */
  default List<TargetSpeed> measuredSpeeds(Instant now) {
    return List.of();
  }

  /** Takes the speeds of targets by the times that all live daemons measured. */
  default void speeds(List<TargetSpeed> speeds, Instant now) {}

  /** Returns an exchange of a daemon that relays nothing. */
  static WorkExchange none() {
    return new WorkExchange() {
      @Override
      public List<TargetWork> own() {
        return List.of();
      }

      @Override
      public void others(List<TargetWork> work, Instant now) {}
    };
  }
}
