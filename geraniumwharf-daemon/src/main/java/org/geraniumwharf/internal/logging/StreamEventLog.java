package org.geraniumwharf.internal.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumwharf.internal.threads.DaemonThreads;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;

/**
 * Writes events as lines to a stream, on a thread of its own and many with one write. Callers never
 * wait: while the queue is full, events are dropped and counted, and the count is logged once there
 * is room. Loads no logging library, which would take longer to start than the rest of an instance.
 */
public final class StreamEventLog implements EventLog {

  private static final int MAX_QUEUED = 4096;
  private static final long MILLIS_PER_SECOND = 1000;

  private final OutputStream output;
  private final InstantSource clock;
  private final BlockingQueue<Entry> queue = new ArrayBlockingQueue<>(MAX_QUEUED);
  private final AtomicLong dropped = new AtomicLong();
  private long reportedDrops;
  private long formattedSecond = Long.MIN_VALUE;
  private String secondText = "";

  private StreamEventLog(OutputStream output, InstantSource clock) {
    this.output = output;
    this.clock = clock;
  }

  /**
   * Starts the thread that writes.
   *
   * @param output stream that the thread writes to, without closing it
   * @param clock time of day of the lines
   */
  public static StreamEventLog start(OutputStream output, InstantSource clock) {
    StreamEventLog log = new StreamEventLog(output, clock);
    DaemonThreads.start(log::writeAll, "event-log");
    return log;
  }

  @Override
  public void info(Event event) {
    add("INFO", event);
  }

  @Override
  public void warn(Event event) {
    add("WARN", event);
  }

  private void add(String level, Event event) {
    if (!queue.offer(new Entry(clock.millis(), level, event))) {
      dropped.incrementAndGet();
    }
  }

  private void writeAll() {
    List<Entry> entries = new ArrayList<>();
    try {
      while (true) {
        entries.add(queue.take());
        queue.drainTo(entries);
        addDropped(entries);
        write(entries);
        entries.clear();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The reader of the log is gone; later events are dropped.
    }
  }

  private void addDropped(List<Entry> entries) {
    long lost = dropped.get();
    if (lost > reportedDrops) {
      Event event = Event.of("events-dropped").with("count", lost - reportedDrops);
      entries.add(new Entry(clock.millis(), "WARN", event));
      reportedDrops = lost;
    }
  }

  private void write(List<Entry> entries) throws IOException {
    StringBuilder lines = new StringBuilder();
    for (Entry entry : entries) {
      lines.append("time=");
      appendTime(lines, entry.millis());
      lines.append(" level=").append(entry.level()).append(' ');
      lines.append(entry.event().line()).append('\n');
    }
    output.write(lines.toString().getBytes(StandardCharsets.US_ASCII));
    output.flush();
  }

  /** Appends a time with three digits of milliseconds, whose date is formatted once a second. */
  private void appendTime(StringBuilder line, long millis) {
    long second = Math.floorDiv(millis, MILLIS_PER_SECOND);
    if (second != formattedSecond) {
      String text = Instant.ofEpochSecond(second).toString();
      secondText = text.substring(0, text.length() - 1);
      formattedSecond = second;
    }
    long fraction = Math.floorMod(millis, MILLIS_PER_SECOND);
    line.append(secondText).append('.');
    line.append(fraction / 100).append(fraction / 10 % 10).append(fraction % 10).append('Z');
  }

  private record Entry(long millis, String level, Event event) {}
}
