package org.geraniumwharf.schema;

/**
 * One way in which a document differs from its schema.
 *
 * @param field JSON path of the field, such as {@code keys[0].hash}; empty for the document itself
 * @param message what is wrong and what is allowed
 */
public record SchemaFault(String field, String message) {

  public static SchemaFault of(String field, String message) {
    return new SchemaFault(field, message);
  }

  @Override
  public String toString() {
    return field.isEmpty() ? message : field + ": " + message;
  }
}
