package org.geraniumwharf.internal.serving;

import java.io.IOException;

/** The caller closed its connection before the answer was whole. */
public final class CallerDisconnectedException extends Exception {

  private static final long serialVersionUID = 1L;

  CallerDisconnectedException(IOException cause) {
    super("the caller closed its connection", cause);
  }
}
