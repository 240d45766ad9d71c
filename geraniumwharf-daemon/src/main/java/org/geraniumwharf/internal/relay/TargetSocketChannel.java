package org.geraniumwharf.internal.relay;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/** Channel to a target that can look at its socket without waiting for its event loop. */
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

  /**
   * Returns whether the target has reset the connection. After the end of the target's output no
   * read tells it. A selector reports a connected channel with an error as ready to connect.
   */
  boolean isReset() {
    try (Selector selector = Selector.open()) {
      javaChannel().register(selector, SelectionKey.OP_CONNECT);
      return selector.selectNow() > 0;
    } catch (IOException e) {
      return true;
    }
  }
}
