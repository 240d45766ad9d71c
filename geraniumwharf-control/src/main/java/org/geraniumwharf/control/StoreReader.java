package org.geraniumwharf.control;

import java.util.List;
import org.geraniumwharf.schema.messages.StoreChanges;
import org.geraniumwharf.schema.messages.StorePosition;

/** Contents of the cache stores, which a control instance hands on to daemons. */
public interface StoreReader {

  /**
   * Returns the state of each store that answers, as changes since the position of a daemon. Does
   * not block.
   */
  List<StoreChanges> changesSince(List<StorePosition> positions);

  /** Returns a reader of no stores. */
  static StoreReader none() {
    return positions -> List.of();
  }
}
