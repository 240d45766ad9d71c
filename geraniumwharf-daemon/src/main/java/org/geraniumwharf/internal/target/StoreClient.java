package org.geraniumwharf.internal.target;

import java.time.Duration;
import java.util.List;
import org.geraniumwharf.schema.targets.KeptLookup;
import org.geraniumwharf.schema.targets.KeptObject;

/** Look-ups at a store of kept cache. */
public interface StoreClient {

  /**
   * Returns the sealed objects under anchors.
   *
   * @param address base URL of the store
   * @throws TargetCallException if the store does not answer in time
   */
  List<KeptObject> lookUp(String store, String address, KeptLookup lookup, Duration timeout)
      throws TargetCallException;
}
