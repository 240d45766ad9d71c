package org.geraniumwharf.internal.transport;

import java.util.concurrent.atomic.LongAdder;

/** Bytes and frames that this daemon sent to others. */
public final class PeerTraffic {

  private static final int HEADER_BYTES = 5;

  private final LongAdder bytes = new LongAdder();
  private final LongAdder frames = new LongAdder();

  void sent(int bodyBytes) {
    bytes.add(bodyBytes + (long) HEADER_BYTES);
    frames.increment();
  }

  public long bytes() {
    return bytes.sum();
  }

  public long frames() {
    return frames.sum();
  }
}
