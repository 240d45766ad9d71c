package org.geraniumwharf.internal.fleet;

import java.time.Instant;
import java.util.List;
import org.geraniumwharf.schema.messages.StoreChanges;
import org.geraniumwharf.schema.messages.StorePosition;

/** Contents of cache stores, which control instances read for the other daemons. */
public interface StoreExchange {

  /** Returns up to where this daemon knows the contents of each store. */
  List<StorePosition> positions();

  /** Applies the state of all available stores. */
  void received(List<StoreChanges> changes, Instant now);

  /** Returns an exchange of a daemon that uses no stores. */
  static StoreExchange none() {
    return new StoreExchange() {
      @Override
      public List<StorePosition> positions() {
        return List.of();
      }

      @Override
      public void received(List<StoreChanges> changes, Instant now) {}
    };
  }
}
