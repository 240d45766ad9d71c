package org.geraniumwharf.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.credential.CallerKey;
import org.geraniumwharf.credential.SecretHash;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.objects.Adapter;
import org.geraniumwharf.schema.objects.Deployment;
import org.geraniumwharf.schema.objects.KeyHash;
import org.geraniumwharf.schema.objects.Model;
import org.geraniumwharf.schema.objects.ModelVersion;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.objects.Route;
import org.geraniumwharf.schema.objects.Service;
import org.geraniumwharf.schema.objects.WeightStore;
import org.geraniumwharf.schema.state.ObjectReference;

/**
 * One version of the published set of objects, with lookups by name. Immutable, so a request uses
 * the same configuration from its first byte to its last.
 */
public final class Configuration {

  private static final Configuration EMPTY = new Configuration(0, Map.of());

  private final long version;
  private final Map<ObjectReference, PublishedObject> objects;
  private final Map<String, Organisation> organisationsByKeyId;
  private final List<Deployment> deployments;

  private Configuration(long version, Map<ObjectReference, PublishedObject> objects) {
    this.version = version;
    this.objects = objects;
    this.organisationsByKeyId = new HashMap<>();
    for (PublishedObject object : objects.values()) {
      if (object instanceof Organisation organisation) {
        organisation.keys().forEach(key -> organisationsByKeyId.put(key.id(), organisation));
      }
    }
    this.deployments =
        objects.values().stream()
            .filter(Deployment.class::isInstance)
            .map(Deployment.class::cast)
            .sorted(Comparator.comparing(Deployment::name))
            .toList();
  }

  /** Returns the empty configuration before the first publication, with version 0. */
  public static Configuration empty() {
    return EMPTY;
  }

  public static Configuration of(long version, List<PublishedObject> objects) {
    Map<ObjectReference, PublishedObject> byReference = new HashMap<>();
    objects.forEach(object -> byReference.put(ConfigurationDifference.referenceTo(object), object));
    return new Configuration(version, byReference);
  }

  /** Returns a copy with a new version, objects added or replaced, and others removed. */
  public Configuration withChanges(
      long newVersion, List<PublishedObject> upserts, List<ObjectReference> removals) {
    Map<ObjectReference, PublishedObject> updated = new HashMap<>(objects);
    removals.forEach(updated::remove);
    upserts.forEach(object -> updated.put(ConfigurationDifference.referenceTo(object), object));
    return new Configuration(newVersion, updated);
  }

  public long version() {
    return version;
  }

  /** Returns every object, ordered by kind and name. */
  public List<PublishedObject> objects() {
    List<PublishedObject> ordered = new ArrayList<>(objects.values());
    ordered.sort(Comparator.comparing(ObjectKind::of).thenComparing(PublishedObject::name));
    return List.copyOf(ordered);
  }

  /** Returns the organisation of a key; empty if the key id is unknown or the secret is wrong. */
  public Optional<Organisation> authenticate(CallerKey key) {
    Organisation organisation = organisationsByKeyId.get(key.id());
    if (organisation == null) {
      return Optional.empty();
    }
    for (KeyHash candidate : organisation.keys()) {
      if (candidate.id().equals(key.id())
          && SecretHash.of(candidate.salt(), candidate.hash()).matches(key.secret())) {
        return Optional.of(organisation);
      }
    }
    return Optional.empty();
  }

  public Optional<Route> route(String name) {
    return find(ObjectKind.ROUTE, name, Route.class);
  }

  public Optional<Deployment> deployment(String name) {
    return find(ObjectKind.DEPLOYMENT, name, Deployment.class);
  }

  /** Returns every deployment, ordered by name. */
  public List<Deployment> deployments() {
    return deployments;
  }

  public Optional<WeightStore> weightStore(String name) {
    return find(ObjectKind.WEIGHT_STORE, name, WeightStore.class);
  }

  public Optional<Adapter> adapter(String name) {
    return find(ObjectKind.ADAPTER, name, Adapter.class);
  }

  public Optional<ModelVersion> modelVersion(String name) {
    return find(ObjectKind.MODEL_VERSION, name, ModelVersion.class);
  }

  public Optional<Model> model(String name) {
    return find(ObjectKind.MODEL, name, Model.class);
  }

  public Optional<Service> service(String name) {
    return find(ObjectKind.SERVICE, name, Service.class);
  }

  private <T> Optional<T> find(ObjectKind kind, String name, Class<T> type) {
    return Optional.ofNullable(objects.get(ObjectReference.of(kind.wireName(), name)))
        .map(type::cast);
  }

  /** Returns the SHA-256 of a set in hexadecimal, independent of the order of its objects. */
  public static String digestOf(List<PublishedObject> objects) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      for (PublishedObject object : of(0, objects).objects()) {
        digest.update(Codec.json().encodeText(object).getBytes(StandardCharsets.UTF_8));
        digest.update((byte) '\n');
      }
      return HexFormat.of().formatHex(digest.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }
}
