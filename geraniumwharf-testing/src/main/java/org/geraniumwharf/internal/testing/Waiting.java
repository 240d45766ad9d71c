package org.geraniumwharf.internal.testing;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Time that simulated work takes. */
final class Waiting {

  private Waiting() {}

  static void millis(double millis) {
    long end = System.nanoTime() + (long) (millis * 1e6);
    while (System.nanoTime() < end) {
      LockSupport.parkNanos(Math.min(end - System.nanoTime(), TimeUnit.SECONDS.toNanos(1)));
    }
  }
}
