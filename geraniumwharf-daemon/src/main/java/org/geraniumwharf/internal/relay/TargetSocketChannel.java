package org.geraniumwharf.internal.relay;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Channel to a target that can look for unexpected input without waiting for its event loop. */
final class TargetSocketChannel extends NioSocketChannel {

  private static final int MAX_COUNTED_BYTES = 256;

  /**
   * Reads from the socket on the event loop of the channel. What is read is lost, so the channel
   * must be closed unless the result is 0.
   *
   * @return number of bytes read; 0 if there are none, and -1 if the input ended or failed
   */
  int readUnexpected() {
    try {
      return javaChannel().read(ByteBuffer.allocate(MAX_COUNTED_BYTES));
    } catch (IOException e) {
      return -1;
    }
  }
}
