package org.geraniumwharf.internal.logging;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.operators.EventLine;

/**
 * Passes events on and remembers the newest. Events of requests are kept apart, so that many of
 * them do not push out what happened to the fleet. The lock is innermost.
 */
public final class EventHistory implements EventLog {

  private static final int MAX_LINES = 8192;
  private static final Set<String> OF_REQUESTS =
      Set.of("decision", "request", "retry", "refused", "import", "export", "run-claim", "run-end");

  private final EventLog next;
  private final InstantSource clock;
  private final Deque<EventLine> ofRequests = new ArrayDeque<>();
  private final Deque<EventLine> ofFleet = new ArrayDeque<>();
  private boolean isFleetCut;

  private EventHistory(EventLog next, InstantSource clock) {
    this.next = next;
    this.clock = clock;
  }

  public static EventHistory before(EventLog next, InstantSource clock) {
    return new EventHistory(next, clock);
  }

  @Override
  public void info(Event event) {
    next.info(event);
    remember(event);
  }

  @Override
  public void warn(Event event) {
    next.warn(event);
    remember(event);
  }

  private synchronized void remember(Event event) {
    EventLine line = EventLine.of(clock.instant().toEpochMilli(), event.line());
    if (OF_REQUESTS.contains(event.name())) {
      add(ofRequests, line);
    } else if (add(ofFleet, line)) {
      isFleetCut = true;
    }
  }

  private static boolean add(Deque<EventLine> lines, EventLine line) {
    lines.addLast(line);
    boolean isFull = lines.size() > MAX_LINES;
    if (isFull) {
      lines.removeFirst();
    }
    return isFull;
  }

  /** Returns the events of the fleet from a time on, oldest first. */
  public synchronized List<EventLine> ofFleet(Instant since) {
    return select(ofFleet, line -> line.atMillis() >= since.toEpochMilli());
  }

  /** Tells whether no event of the fleet from a time on was pushed out. */
  public synchronized boolean isComplete(Instant since) {
    return !isFleetCut || ofFleet.getFirst().atMillis() < since.toEpochMilli();
  }

  /** Returns the events of one request, oldest first. */
  public synchronized List<EventLine> ofRequest(String request) {
    String pair = " request=" + request;
    return select(ofRequests, line -> (line.line() + " ").contains(pair + " "));
  }

  private static List<EventLine> select(Deque<EventLine> lines, Predicate<EventLine> wanted) {
    return lines.stream().filter(wanted).toList();
  }
}
