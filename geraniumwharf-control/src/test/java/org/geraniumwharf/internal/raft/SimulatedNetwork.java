package org.geraniumwharf.internal.raft;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.geraniumwharf.schema.messages.RaftMessage;

/**
 * Network that loses, delays, duplicates and reorders messages and can block one direction of a
 * link.
 */
final class SimulatedNetwork {

  private static final double LOSS_PROBABILITY = 0.03;
  private static final double DUPLICATION_PROBABILITY = 0.03;
  private static final int MAX_USUAL_DELAY_MILLIS = 10;
  private static final int MAX_LONG_DELAY_MILLIS = 800;
  private static final double LONG_DELAY_PROBABILITY = 0.01;

  record Delivery(Instant at, long sequence, String from, String to, RaftMessage message) {}

  private record Link(String from, String to) {}

  private final RandomGenerator random;
  private final PriorityQueue<Delivery> queue =
      new PriorityQueue<>(Comparator.comparing(Delivery::at).thenComparing(Delivery::sequence));
  private final Set<Link> blocked = new HashSet<>();
  private boolean isReliable;
  private long nextSequence;

  SimulatedNetwork(RandomGenerator random) {
    this.random = random;
  }

  void send(String from, String to, RaftMessage message, Instant now) {
    if (blocked.contains(new Link(from, to))
        || (!isReliable && random.nextDouble() < LOSS_PROBABILITY)) {
      return;
    }
    queue.add(new Delivery(now.plusMillis(randomDelayMillis()), nextSequence++, from, to, message));
    if (!isReliable && random.nextDouble() < DUPLICATION_PROBABILITY) {
      queue.add(
          new Delivery(now.plusMillis(randomDelayMillis()), nextSequence++, from, to, message));
    }
  }

  private int randomDelayMillis() {
    boolean isLong = !isReliable && random.nextDouble() < LONG_DELAY_PROBABILITY;
    return random.nextInt(isLong ? MAX_LONG_DELAY_MILLIS : MAX_USUAL_DELAY_MILLIS);
  }

  List<Delivery> due(Instant now) {
    List<Delivery> due = new ArrayList<>();
    while (!queue.isEmpty() && !queue.peek().at().isAfter(now)) {
      due.add(queue.poll());
    }
    return due;
  }

  void block(String from, String to) {
    blocked.add(new Link(from, to));
  }

  void heal() {
    blocked.clear();
  }

  /** Unblocks all links and ends message loss, duplication and long delays. */
  void becomeReliable() {
    heal();
    isReliable = true;
  }
}
