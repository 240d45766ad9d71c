package org.geraniumwharf.internal.storage;

/** Ends the process that uses a {@link FaultyDisk} in the middle of an operation. */
public final class PowerLostException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  PowerLostException() {
    super("the power was lost");
  }
}
