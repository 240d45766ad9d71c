package org.geraniumwharf.internal.logging;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumwharf.internal.threads.DaemonThreads;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;

/**
 * Hands events to another log on a thread of its own. Callers never wait: while the queue is full,
 * events are dropped and counted, and the count is logged once there is room.
 */
public final class BoundedEventLog implements EventLog {

  private static final int MAX_QUEUED = 4096;

  private final EventLog next;
  private final BlockingQueue<Entry> queue = new ArrayBlockingQueue<>(MAX_QUEUED);
  private final AtomicLong dropped = new AtomicLong();

  private BoundedEventLog(EventLog next) {
    this.next = next;
  }

  /** Starts the thread that writes. */
  public static BoundedEventLog before(EventLog next) {
    BoundedEventLog log = new BoundedEventLog(next);
    DaemonThreads.start(log::writeAll, "event-log");
    return log;
  }

  @Override
  public void info(Event event) {
    add(new Entry(event, false));
  }

  @Override
  public void warn(Event event) {
    add(new Entry(event, true));
  }

  /** Returns the events that found no room so far. */
  public long dropped() {
    return dropped.get();
  }

  private void add(Entry entry) {
    if (!queue.offer(entry)) {
      dropped.incrementAndGet();
    }
  }

  private void writeAll() {
    long reported = 0;
    try {
      while (true) {
        Entry entry = queue.take();
        if (entry.isWarning()) {
          next.warn(entry.event());
        } else {
          next.info(entry.event());
        }
        long lost = dropped.get();
        if (lost > reported) {
          next.warn(Event.of("events-dropped").with("count", lost - reported));
          reported = lost;
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private record Entry(Event event, boolean isWarning) {}
}
