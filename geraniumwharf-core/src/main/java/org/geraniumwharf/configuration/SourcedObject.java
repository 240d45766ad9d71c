package org.geraniumwharf.configuration;

import org.geraniumwharf.schema.objects.PublishedObject;

/**
 * A published object with the file it was read from.
 *
 * @param source file name; empty if the object was not read from a file
 */
public record SourcedObject(String source, PublishedObject object) {

  public static SourcedObject of(String source, PublishedObject object) {
    return new SourcedObject(source, object);
  }

  /** Returns kind and name, such as {@code route/quotes}. */
  public String label() {
    return ObjectKind.of(object).wireName() + "/" + object.name();
  }
}
