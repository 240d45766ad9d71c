package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.Comparator;

/** Order in which queued requests are dispatched. */
public interface QueueOrder {

  /** Returns the order at a time. It must not consider two different requests as equal. */
  Comparator<QueuedRequest> at(Instant now);

  /** Returns the order by priority and, within a priority, by arrival. */
  static QueueOrder byPriority() {
    Comparator<QueuedRequest> order =
        Comparator.comparingInt(QueuedRequest::priority).thenComparingLong(QueuedRequest::sequence);
    return now -> order;
  }
}
