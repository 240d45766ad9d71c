package org.geraniumwharf.internal.serving;

import java.io.IOException;

/** Thrown when the caller closes its connection before the answer is complete. */
public final class CallerDisconnectedException extends Exception {

  private static final long serialVersionUID = 1L;

  CallerDisconnectedException(IOException cause) {
    super("the caller closed its connection", cause);
  }
}
