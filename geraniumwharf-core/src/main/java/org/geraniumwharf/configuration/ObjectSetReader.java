package org.geraniumwharf.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.InvalidDocumentException;
import org.geraniumwharf.schema.SchemaChecker;
import org.geraniumwharf.schema.SchemaFault;
import org.geraniumwharf.schema.objects.Adapter;
import org.geraniumwharf.schema.objects.Deployment;
import org.geraniumwharf.schema.objects.Model;
import org.geraniumwharf.schema.objects.ModelVersion;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.objects.Route;
import org.geraniumwharf.schema.objects.Service;
import org.geraniumwharf.schema.objects.WeightStore;

/**
 * Reads published objects from JSON documents that hold one object or an array of objects. Reading
 * continues after a fault, so that all faults are reported together.
 *
 * <pre>{@code
 * ObjectSetReader reader = ObjectSetReader.create();
 * reader.add("routes.json", bytes);
 * List<ConfigurationFault> faults = reader.faults();
 * }</pre>
 */
public final class ObjectSetReader {

  private static final Map<String, Class<? extends PublishedObject>> TYPES_BY_KIND =
      Map.of(
          "organisation", Organisation.class,
          "model", Model.class,
          "model-version", ModelVersion.class,
          "adapter", Adapter.class,
          "deployment", Deployment.class,
          "route", Route.class,
          "service", Service.class,
          "weight-store", WeightStore.class);

  private final List<SourcedObject> objects = new ArrayList<>();
  private final List<ConfigurationFault> faults = new ArrayList<>();

  private ObjectSetReader() {}

  public static ObjectSetReader create() {
    return new ObjectSetReader();
  }

  /** Reads one document. Invalid JSON is recorded as a fault. */
  public void add(String source, byte[] document) {
    try {
      add(source, Codec.json().parse(document));
    } catch (IOException e) {
      faults.add(ConfigurationFault.of(source, "", "", "not valid JSON: " + e.getMessage()));
    }
  }

  /** Reads one parsed document. */
  public void add(String source, JsonNode document) {
    if (document.isArray()) {
      document.forEach(element -> addObject(source, element));
    } else {
      addObject(source, document);
    }
  }

  private void addObject(String source, JsonNode element) {
    String kind = element.path("kind").asText();
    String label = kind + "/" + element.path("name").asText();
    Class<? extends PublishedObject> type = TYPES_BY_KIND.get(kind);
    if (type == null) {
      String supportedKinds = String.join(", ", TYPES_BY_KIND.keySet().stream().sorted().toList());
      faults.add(ConfigurationFault.of(source, label, "kind", "must be one of: " + supportedKinds));
      return;
    }
    try {
      objects.add(SourcedObject.of(source, SchemaChecker.read(element, type)));
    } catch (InvalidDocumentException e) {
      for (SchemaFault fault : e.faults()) {
        faults.add(ConfigurationFault.of(source, label, fault.field(), fault.message()));
      }
    }
  }

  /** Returns the objects that conform to their schemas. */
  public List<PublishedObject> objects() {
    return objects.stream().map(SourcedObject::object).toList();
  }

  /** Returns every fault: those within single objects, then those between objects. */
  public List<ConfigurationFault> faults() {
    List<ConfigurationFault> all = new ArrayList<>(faults);
    all.addAll(ConfigurationChecker.check(objects));
    return List.copyOf(all);
  }
}
