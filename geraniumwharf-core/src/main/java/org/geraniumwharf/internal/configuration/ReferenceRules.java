package org.geraniumwharf.internal.configuration;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.configuration.ConfigurationFault;
import org.geraniumwharf.configuration.ObjectKind;
import org.geraniumwharf.configuration.SourcedObject;
import org.geraniumwharf.schema.objects.Adapter;
import org.geraniumwharf.schema.objects.Deployment;
import org.geraniumwharf.schema.objects.KeyHash;
import org.geraniumwharf.schema.objects.ModelVersion;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.objects.RelayRoute;
import org.geraniumwharf.schema.objects.Route;
import org.geraniumwharf.schema.objects.RouteSplit;

/** Checks names, references and value ranges in a set of objects and collects every fault. */
public final class ReferenceRules {

  private final List<ConfigurationFault> faults = new ArrayList<>();
  private final Map<ObjectKind, Map<String, PublishedObject>> objects =
      new EnumMap<>(ObjectKind.class);
  private final Map<String, String> organisationsByKey = new HashMap<>();
  private final Map<String, String> routesByHostAndPrefix = new HashMap<>();

  private ReferenceRules() {}

  /** Returns every fault of a set; empty if there is none. */
  public static List<ConfigurationFault> check(List<SourcedObject> set) {
    ReferenceRules rules = new ReferenceRules();
    set.forEach(rules::registerName);
    set.forEach(rules::checkObject);
    return List.copyOf(rules.faults);
  }

  private void registerName(SourcedObject sourced) {
    PublishedObject object = sourced.object();
    PublishedObject other =
        objects
            .computeIfAbsent(ObjectKind.of(object), kind -> new HashMap<>())
            .putIfAbsent(object.name(), object);
    if (other != null) {
      report(sourced, "name", "another object of this kind has the same name");
    }
  }

  private void checkObject(SourcedObject sourced) {
    PublishedObject object = sourced.object();
    if (object instanceof Organisation organisation) {
      checkOrganisation(sourced, organisation);
    } else if (object instanceof ModelVersion version) {
      requireObject(sourced, "model", ObjectKind.MODEL, version.model());
      requireObject(sourced, "weightStore", ObjectKind.WEIGHT_STORE, version.weightStore());
    } else if (object instanceof Adapter adapter) {
      requireObject(sourced, "modelVersion", ObjectKind.MODEL_VERSION, adapter.modelVersion());
      requireObject(sourced, "weightStore", ObjectKind.WEIGHT_STORE, adapter.weightStore());
    } else if (object instanceof Deployment deployment) {
      checkDeployment(sourced, deployment);
    } else if (object instanceof Route route) {
      checkRoute(sourced, route);
    } else if (object instanceof RelayRoute route) {
      checkRelayRoute(sourced, route);
    }
  }

  private void checkOrganisation(SourcedObject sourced, Organisation organisation) {
    requireObjects(sourced, "routes", ObjectKind.ROUTE, organisation.routes());
    int index = 0;
    for (KeyHash key : organisation.keys()) {
      String owner = organisationsByKey.putIfAbsent(key.id(), organisation.name());
      if (owner != null) {
        report(
            sourced,
            "keys[" + index + "].id",
            "key id " + key.id() + " already belongs to organisation " + owner);
      }
      index++;
    }
    for (String digest : organisation.keyDigests()) {
      String owner = organisationsByKey.putIfAbsent(digest, organisation.name());
      if (owner != null && !owner.equals(organisation.name())) {
        report(sourced, "keyDigests", "a key already belongs to organisation " + owner);
      }
    }
  }

  private void checkRelayRoute(SourcedObject sourced, RelayRoute route) {
    long weight = 0;
    for (RouteSplit split : route.splits()) {
      requireObject(sourced, "splits", ObjectKind.RELAY_SERVICE, split.service());
      if (split.weight() < 0) {
        report(sourced, "splits", "a weight must not be negative");
      }
      weight += split.weight();
    }
    if (weight <= 0) {
      report(sourced, "splits", "the weights must add up to more than 0");
    }
    if (route.timeoutMillis() < 1) {
      report(sourced, "timeoutMillis", "must be at least 1");
    }
    String hostAndPrefix = route.host() + route.pathPrefix();
    String other = routesByHostAndPrefix.putIfAbsent(hostAndPrefix, route.name());
    if (other != null) {
      report(sourced, "pathPrefix", "relay route " + other + " has the same host and prefix");
    }
  }

  private void checkDeployment(SourcedObject sourced, Deployment deployment) {
    requireObject(sourced, "modelVersion", ObjectKind.MODEL_VERSION, deployment.modelVersion());
    requireObjects(sourced, "adapters", ObjectKind.ADAPTER, deployment.adapters());
    for (String name : deployment.adapters()) {
      Optional<Adapter> adapter = find(ObjectKind.ADAPTER, name, Adapter.class);
      if (adapter.isPresent() && !adapter.get().modelVersion().equals(deployment.modelVersion())) {
        report(
            sourced,
            "adapters",
            "adapter " + name + " fits model version " + adapter.get().modelVersion());
      }
    }
    if (deployment.minReplicas() > deployment.maxReplicas()) {
      report(sourced, "minReplicas", "must not exceed maxReplicas");
    }
  }

  private void checkRoute(SourcedObject sourced, Route route) {
    if (route.deployment().isPresent() == route.service().isPresent()) {
      report(sourced, "deployment", "exactly one of deployment and service is needed");
    }
    route
        .deployment()
        .ifPresent(name -> requireObject(sourced, "deployment", ObjectKind.DEPLOYMENT, name));
    route.service().ifPresent(name -> requireObject(sourced, "service", ObjectKind.SERVICE, name));
    route.adapter().ifPresent(adapter -> checkRouteAdapter(sourced, route, adapter));
  }

  private void checkRouteAdapter(SourcedObject sourced, Route route, String adapter) {
    Set<String> deployed = new HashSet<>();
    route
        .deployment()
        .flatMap(name -> find(ObjectKind.DEPLOYMENT, name, Deployment.class))
        .ifPresent(deployment -> deployed.addAll(deployment.adapters()));
    if (!deployed.contains(adapter)) {
      report(sourced, "adapter", "adapter " + adapter + " is not part of the deployment");
    }
  }

  private void requireObjects(
      SourcedObject sourced, String field, ObjectKind kind, List<String> names) {
    int index = 0;
    for (String name : names) {
      requireObject(sourced, field + "[" + index + "]", kind, name);
      index++;
    }
  }

  private void requireObject(SourcedObject sourced, String field, ObjectKind kind, String name) {
    if (!objects.getOrDefault(kind, Map.of()).containsKey(name)) {
      report(sourced, field, "no " + kind.wireName() + " is named " + name);
    }
  }

  private <T> Optional<T> find(ObjectKind kind, String name, Class<T> type) {
    return Optional.ofNullable(objects.getOrDefault(kind, Map.of()).get(name)).map(type::cast);
  }

  private void report(SourcedObject sourced, String field, String message) {
    faults.add(ConfigurationFault.of(sourced.source(), sourced.label(), field, message));
  }
}
