package org.geraniumwharf.internal.testing;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A number of places, given to the lowest priority number first. */
final class PrioritySlots {

  private record Waiter(int priority, long number) {}

  private final PriorityQueue<Waiter> waiters =
      new PriorityQueue<>(Comparator.comparingInt(Waiter::priority).thenComparing(Waiter::number));
  private int free;
  private long arrivals;

  PrioritySlots(int places) {
    this.free = places;
  }

  synchronized void acquire(int priority) throws InterruptedException {
    Waiter self = new Waiter(priority, arrivals++);
    waiters.add(self);
    while (free == 0 || !self.equals(waiters.peek())) {
      wait();
    }
    waiters.remove();
    free--;
    notifyAll();
  }

  synchronized void release() {
    free++;
    notifyAll();
  }

  synchronized int waiting() {
    return waiters.size();
  }
}
