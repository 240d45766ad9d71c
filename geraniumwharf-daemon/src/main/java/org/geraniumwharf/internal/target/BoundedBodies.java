package org.geraniumwharf.internal.target;

import java.io.IOException;
import okhttp3.Response;
import okio.BufferedSource;

/** Reads the bodies of answers, which a faulty target may send without an end. */
final class BoundedBodies {

  private BoundedBodies() {}

  /**
   * Reads a whole body.
   *
   * @throws TargetCallException if the body is larger than the limit
   * @throws IOException if the connection breaks or the time is over
   */
  static byte[] read(Response response, String target, int maxBytes)
      throws TargetCallException, IOException {
    BufferedSource source = response.body().source();
    if (source.request(maxBytes + 1L)) {
      throw TargetCallException.unclear(target, "its answer exceeds " + maxBytes + " bytes");
    }
    return source.readByteArray();
  }
}
