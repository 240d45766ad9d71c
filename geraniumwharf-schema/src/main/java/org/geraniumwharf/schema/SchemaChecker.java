package org.geraniumwharf.schema;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.path.NodePath;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.geraniumwharf.internal.schema.DefaultValues;
import org.geraniumwharf.internal.schema.SchemaLibrary;

/**
 * Checks documents from outside against their schema and converts them to generated records, with
 * the schema's default values filled in.
 *
 * <pre>{@code
 * Announcement announcement = SchemaChecker.read(document, Announcement.class);
 * }</pre>
 */
public final class SchemaChecker {

  private SchemaChecker() {}

  /** Lists every fault of a document; empty when it matches the schema of the type. */
  public static List<SchemaFault> faultsOf(JsonNode document, Class<?> type) {
    List<SchemaFault> faults = new ArrayList<>();
    for (Error error : SchemaLibrary.schemaOf(type).validate(document)) {
      faults.add(SchemaFault.of(fieldOf(error), error.getMessage()));
    }
    return List.copyOf(faults);
  }

  /**
   * Converts a document.
   *
   * @throws InvalidDocumentException if it has any fault
   */
  public static <T> T read(JsonNode document, Class<T> type) throws InvalidDocumentException {
    List<SchemaFault> faults = faultsOf(document, type);
    if (!faults.isEmpty()) {
      throw new InvalidDocumentException(faults);
    }
    JsonNode complete = document.deepCopy();
    DefaultValues.fill(complete, SchemaLibrary.definition("/" + type.getSimpleName()));
    try {
      return Codec.json().convert(complete, type);
    } catch (IOException e) {
      throw new InvalidDocumentException(List.of(SchemaFault.of("", e.getMessage())));
    }
  }

  private static String fieldOf(Error error) {
    NodePath location = error.getInstanceLocation();
    StringBuilder field = new StringBuilder();
    for (int i = 0; i < location.getNameCount(); i++) {
      Object element = location.getElement(i);
      if (element instanceof Integer index) {
        field.append('[').append(index).append(']');
      } else {
        field.append(field.isEmpty() ? "" : ".").append(element);
      }
    }
    String property = error.getProperty();
    if (property != null) {
      field.append(field.isEmpty() ? "" : ".").append(property);
    }
    return field.toString();
  }
}
