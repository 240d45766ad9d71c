package org.geraniumwharf.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.state.ObjectReference;

/**
 * Difference between two sets of objects.
 *
 * @param upserts objects to add or replace
 * @param removals objects to remove
 */
public record ConfigurationDifference(
    List<PublishedObject> upserts, List<ObjectReference> removals) {

  public ConfigurationDifference {
    upserts = List.copyOf(upserts);
    removals = List.copyOf(removals);
  }

  /** Returns the changes that turn one set into the other. */
  public static ConfigurationDifference between(
      List<PublishedObject> before, List<PublishedObject> after) {
    Map<ObjectReference, PublishedObject> remaining = new HashMap<>();
    before.forEach(object -> remaining.put(referenceTo(object), object));
    List<PublishedObject> upserts = new ArrayList<>();
    for (PublishedObject object : after) {
      PublishedObject previous = remaining.remove(referenceTo(object));
      if (!object.equals(previous)) {
        upserts.add(object);
      }
    }
    return new ConfigurationDifference(upserts, List.copyOf(remaining.keySet()));
  }

  /** Returns the kind and name of an object. */
  public static ObjectReference referenceTo(PublishedObject object) {
    return ObjectReference.of(ObjectKind.of(object).wireName(), object.name());
  }

  public boolean isEmpty() {
    return upserts.isEmpty() && removals.isEmpty();
  }
}
