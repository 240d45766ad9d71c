package org.geraniumwharf.internal.fleet;

import java.time.Instant;
import java.util.List;
import org.geraniumwharf.schema.messages.TargetWork;

/** Relayed work that daemons tell each other of, by way of the leader. */
public interface WorkExchange {

  /** Returns the work that this daemon has under way. */
  List<TargetWork> own();

  /** Takes the work of all other live daemons together. */
  void others(List<TargetWork> work, Instant now);

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
