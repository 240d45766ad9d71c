package org.geraniumwharf.internal.target;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * A socket to a target. If asked to, it takes the end of the target's output for the end of a body
 * only if the target has not reset the connection. A target that closes a connection with a part of
 * the request unread ends its output and resets the connection shortly after. No read tells the
 * reset then, a write does.
 */
final class EndCheckingSocket extends Socket {

  /**
   * Time for a reset to arrive: a round trip between data centres, and a busy target between the
   * end of its output and the close.
   */
  private static final Duration RESET_WAIT = Duration.ofMillis(200);

  /** An empty line, which a server ignores before a request. */
  private static final byte[] PROBE = "\r\n".getBytes(StandardCharsets.US_ASCII);

  private volatile EndCheck check = EndCheck.NONE;

  /** How the end of the target's output is checked. */
  enum EndCheck {
    NONE,
    AT_ONCE,
    /** A reset may still be on its way. */
    AFTER_A_WAIT
  }

  /** Sets how the end of the output is checked from now on. */
  void checkEnd(EndCheck newCheck) {
    check = newCheck;
  }

  @Override
  public InputStream getInputStream() throws IOException {
    return new FilterInputStream(super.getInputStream()) {
      @Override
      public int read() throws IOException {
        return checked(super.read());
      }

      @Override
      public int read(byte[] bytes, int start, int length) throws IOException {
        return checked(super.read(bytes, start, length));
      }
    };
  }

  private int checked(int read) throws IOException {
    if (read < 0 && check != EndCheck.NONE) {
      if (check == EndCheck.AFTER_A_WAIT) {
        awaitReset();
      }
      check = EndCheck.NONE;
      getOutputStream().write(PROBE);
    }
    return read;
  }

  private static void awaitReset() throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(RESET_WAIT.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new InterruptedIOException("interrupted while the end of the answer was checked");
    }
  }
}
