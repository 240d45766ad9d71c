package org.geraniumwharf.internal.relay;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Flushes of the connections that were written to while a connection to a target was read. They run
 * at the end of that read, so that events that arrive together are sent with one system call.
 * Confined to its event loop.
 */
final class DeferredFlushes {

  private final Deque<Runnable> flushes = new ArrayDeque<>();

  /** Adds a flush; to be called during a read only. */
  void add(Runnable flush) {
    flushes.add(flush);
  }

  /** Runs the flushes, at the end of a read. */
  void run() {
    while (!flushes.isEmpty()) {
      flushes.remove().run();
    }
  }
}
