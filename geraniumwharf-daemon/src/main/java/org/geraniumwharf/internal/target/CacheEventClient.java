package org.geraniumwharf.internal.target;

import java.time.Duration;
import org.geraniumwharf.routing.RoutableTarget;
import org.geraniumwharf.schema.targets.CacheEvents;

/** Changes of an engine's prefix cache. */
public interface CacheEventClient {

  /**
   * Returns the changes from a sequence on. An engine that no longer knows all of them answers with
   * a later start and everything that it holds now.
   *
   * @throws TargetCallException if the engine does not answer in time
   */
  CacheEvents cacheEvents(RoutableTarget engine, long from, Duration timeout)
      throws TargetCallException;
}
