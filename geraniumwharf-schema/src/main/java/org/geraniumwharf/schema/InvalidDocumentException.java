package org.geraniumwharf.schema;

import java.util.List;
import java.util.stream.Collectors;

/** A document does not match its schema; every fault is listed. */
public final class InvalidDocumentException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<SchemaFault> faults;

  public InvalidDocumentException(List<SchemaFault> faults) {
    super(faults.stream().map(SchemaFault::toString).collect(Collectors.joining("; ")));
    this.faults = List.copyOf(faults);
  }

  /** Returns every fault, in document order. */
  public List<SchemaFault> faults() {
    return faults;
  }
}
