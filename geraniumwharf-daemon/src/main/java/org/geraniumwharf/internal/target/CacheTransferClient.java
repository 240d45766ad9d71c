package org.geraniumwharf.internal.target;

import java.time.Duration;
import org.geraniumwharf.routing.RoutableTarget;
import org.geraniumwharf.schema.targets.ExportOrder;
import org.geraniumwharf.schema.targets.ImportOrder;

/** Transfers of kept cache, which the engine itself carries out. */
public interface CacheTransferClient {

  /**
   * Lets an engine write context to a store and seal it.
   *
   * @throws TargetCallException if the object is not certainly sealed
   */
  void exportTo(RoutableTarget engine, ExportOrder order, Duration timeout)
      throws TargetCallException;

  /**
   * Lets an engine read sealed context from a store.
   *
   * @throws TargetCallException if the engine did not verify and load it
   */
  void importFrom(RoutableTarget engine, ImportOrder order, Duration timeout)
      throws TargetCallException;
}
