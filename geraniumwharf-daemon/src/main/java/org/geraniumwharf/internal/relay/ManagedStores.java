package org.geraniumwharf.internal.relay;

import java.util.ArrayList;
import java.util.List;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.internal.fleet.NumericAddress;
import org.geraniumwharf.schema.objects.CacheStore;
import org.geraniumwharf.schema.objects.PublishedObject;

/**
 * The managed cache stores of a configuration.
 *
 * @param usable stores that can be connected
 * @param unusable stores whose address cannot be read
 */
record ManagedStores(List<CacheStore> usable, List<CacheStore> unusable) {

  ManagedStores {
    usable = List.copyOf(usable);
    unusable = List.copyOf(unusable);
  }

  static ManagedStores of(Configuration configuration) {
    List<CacheStore> usable = new ArrayList<>();
    List<CacheStore> unusable = new ArrayList<>();
    for (PublishedObject object : configuration.objects()) {
      if (object instanceof CacheStore store && store.managed()) {
        boolean isUsable = NumericAddress.parse(store.address()).isPresent();
        (isUsable ? usable : unusable).add(store);
      }
    }
    return new ManagedStores(usable, unusable);
  }
}
