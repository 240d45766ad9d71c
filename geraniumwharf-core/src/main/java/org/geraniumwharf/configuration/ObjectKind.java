package org.geraniumwharf.configuration;

import org.geraniumwharf.schema.objects.Adapter;
import org.geraniumwharf.schema.objects.CacheStore;
import org.geraniumwharf.schema.objects.Deployment;
import org.geraniumwharf.schema.objects.Model;
import org.geraniumwharf.schema.objects.ModelVersion;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.objects.RelayLimits;
import org.geraniumwharf.schema.objects.RelayRoute;
import org.geraniumwharf.schema.objects.RelayService;
import org.geraniumwharf.schema.objects.Route;
import org.geraniumwharf.schema.objects.Service;
import org.geraniumwharf.schema.objects.WeightStore;

/** Kinds of published objects, with the value of their {@code kind} property. */
public enum ObjectKind {
  ORGANISATION("organisation", Organisation.class),
  MODEL("model", Model.class),
  MODEL_VERSION("model-version", ModelVersion.class),
  ADAPTER("adapter", Adapter.class),
  DEPLOYMENT("deployment", Deployment.class),
  ROUTE("route", Route.class),
  SERVICE("service", Service.class),
  WEIGHT_STORE("weight-store", WeightStore.class),
  RELAY_ROUTE("relay-route", RelayRoute.class),
  RELAY_SERVICE("relay-service", RelayService.class),
  CACHE_STORE("cache-store", CacheStore.class),
  RELAY_LIMITS("relay-limits", RelayLimits.class);

  private final String wireName;
  private final Class<? extends PublishedObject> type;

  ObjectKind(String wireName, Class<? extends PublishedObject> type) {
    this.wireName = wireName;
    this.type = type;
  }

  public String wireName() {
    return wireName;
  }

  /**
   * Returns the kind of an object.
   *
   * @throws IllegalArgumentException if its class belongs to no kind
   */
  public static ObjectKind of(PublishedObject object) {
    for (ObjectKind kind : values()) {
      if (kind.type.isInstance(object)) {
        return kind;
      }
    }
    throw new IllegalArgumentException("no kind for " + object.getClass());
  }
}
