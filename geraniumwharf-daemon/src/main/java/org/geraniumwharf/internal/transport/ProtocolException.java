package org.geraniumwharf.internal.transport;

import java.io.IOException;

/** A peer sent something that this protocol version does not allow. */
final class ProtocolException extends IOException {

  private static final long serialVersionUID = 1L;

  ProtocolException(String message) {
    super(message);
  }
}
