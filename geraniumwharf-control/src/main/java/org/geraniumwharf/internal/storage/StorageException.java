package org.geraniumwharf.internal.storage;

/** Thrown when the data folder cannot be read or written. */
public final class StorageException extends Exception {

  private static final long serialVersionUID = 1L;

  public StorageException(String message) {
    super(message);
  }

  public StorageException(String message, Throwable cause) {
    super(message, cause);
  }
}
