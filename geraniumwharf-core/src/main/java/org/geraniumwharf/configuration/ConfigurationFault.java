package org.geraniumwharf.configuration;

/**
 * One fault of a set of objects.
 *
 * @param source file the object was read from; empty if it was not read from a file
 * @param object kind and name, such as {@code route/quotes}; empty if the file is not valid JSON
 * @param field JSON path of the field; empty for the object itself
 * @param message what is wrong and which values are allowed
 */
public record ConfigurationFault(String source, String object, String field, String message) {

  public static ConfigurationFault of(String source, String object, String field, String message) {
    return new ConfigurationFault(source, object, field, message);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (String part : new String[] {source, object, field}) {
      text.append(part).append(part.isEmpty() ? "" : ": ");
    }
    return text.append(message).toString();
  }
}
