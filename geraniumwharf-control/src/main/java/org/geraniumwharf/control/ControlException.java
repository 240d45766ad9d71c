package org.geraniumwharf.control;

/** Thrown when a control instance cannot be opened, started or closed. */
public final class ControlException extends Exception {

  private static final long serialVersionUID = 1L;

  public ControlException(String message, Throwable cause) {
    super(message, cause);
  }
}
