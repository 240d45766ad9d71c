package org.geraniumwharf.internal.replica;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.geraniumwharf.control.ViewSink;
import org.geraniumwharf.schema.messages.WatchDelta;
import org.geraniumwharf.schema.messages.WatchFreshness;
import org.geraniumwharf.schema.messages.WatchSnapshot;
import org.geraniumwharf.schema.view.FleetView;
import org.geraniumwharf.schema.view.NamedDuration;
import org.geraniumwharf.schema.view.ViewChange;

/**
 * Sends each change of the view to every watcher, in order. A watcher that reconnects receives only
 * the changes that it missed if they are still retained, and a snapshot otherwise. A watcher whose
 * sink rejects a message is removed. Used by the replica thread only.
 */
final class ViewStream {

  private static final int MAX_RETAINED_CHANGES = 4096;

  private final Supplier<FleetView> view;
  private final Supplier<List<NamedDuration>> named;
  private final Supplier<List<String>> members;
  private final LongSupplier upMillis;
  private final Deque<ViewChange> retainedChanges = new ArrayDeque<>();
  private final List<ViewSink> watchers = new ArrayList<>();
  private final List<WaitingWatcher> waitingWatchers = new ArrayList<>();
  private long retainedAfter;
  private long index;

  /**
   * Creates a stream without watchers.
   *
   * @param named how long versions of weights had been named when the view was last confirmed
   * @param upMillis time since the process was started
   */
  ViewStream(
      Supplier<FleetView> view,
      Supplier<List<NamedDuration>> named,
      Supplier<List<String>> members,
      LongSupplier upMillis) {
    this.view = view;
    this.named = named;
    this.members = members;
    this.upMillis = upMillis;
  }

  /**
   * Adds a watcher. If its view is newer than this replica's, it receives no view until the replica
   * has caught up, but is told how old this replica's is.
   *
   * @param afterIndex index of the view that the watcher holds; 0 for none
   * @param ageMillis time since a quorum last confirmed the leader
   */
  void addWatcher(long afterIndex, ViewSink sink, long ageMillis) {
    if (afterIndex > index) {
      waitingWatchers.add(new WaitingWatcher(afterIndex, sink));
    } else if (sendMissedChanges(afterIndex, sink, ageMillis)) {
      watchers.add(sink);
    }
  }

  private boolean sendMissedChanges(long afterIndex, ViewSink sink, long ageMillis) {
    if (afterIndex == 0 || afterIndex < retainedAfter) {
      return sink.offer(snapshot(ageMillis));
    }
    for (ViewChange change : retainedChanges) {
      if (change.index() > afterIndex && !sink.offer(delta(change, ageMillis))) {
        return false;
      }
    }
    return sink.offer(freshness(ageMillis));
  }

  /** Retains a change of the view and sends it to every watcher. */
  void sendChange(ViewChange change, long ageMillis) {
    index = change.index();
    retainedChanges.addLast(change);
    if (retainedChanges.size() > MAX_RETAINED_CHANGES) {
      retainedAfter = retainedChanges.removeFirst().index();
    }
    watchers.removeIf(sink -> !sink.offer(delta(change, ageMillis)));
  }

  /**
   * Sends the applied index and its age to every watcher, and admits those that wait for it. The
   * others learn from it that this replica runs and for how long.
   */
  void sendFreshness(long appliedIndex, long ageMillis) {
    index = appliedIndex;
    watchers.removeIf(sink -> !sink.offer(freshness(ageMillis)));
    admitWaiting(ageMillis);
    waitingWatchers.removeIf(waiting -> !waiting.sink().offer(freshness(ageMillis)));
  }

  private void admitWaiting(long ageMillis) {
    Iterator<WaitingWatcher> candidates = waitingWatchers.iterator();
    List<WaitingWatcher> admitted = new ArrayList<>();
    while (candidates.hasNext()) {
      WaitingWatcher candidate = candidates.next();
      if (candidate.afterIndex() <= index) {
        admitted.add(candidate);
        candidates.remove();
      }
    }
    admitted.forEach(candidate -> addWatcher(candidate.afterIndex(), candidate.sink(), ageMillis));
  }

  /** Discards the retained changes and sends a snapshot, since the whole state was replaced. */
  void reset(long newIndex, long ageMillis) {
    index = newIndex;
    retainedAfter = newIndex;
    retainedChanges.clear();
    watchers.removeIf(sink -> !sink.offer(snapshot(ageMillis)));
  }

  private WatchSnapshot snapshot(long ageMillis) {
    return WatchSnapshot.of(view.get(), ageMillis, up(), named.get());
  }

  private WatchDelta delta(ViewChange change, long ageMillis) {
    return WatchDelta.of(change, ageMillis, up());
  }

  private WatchFreshness freshness(long ageMillis) {
    return WatchFreshness.of(index, ageMillis, up(), members.get());
  }

  private Optional<Long> up() {
    return Optional.of(upMillis.getAsLong());
  }

  private record WaitingWatcher(long afterIndex, ViewSink sink) {}
}
