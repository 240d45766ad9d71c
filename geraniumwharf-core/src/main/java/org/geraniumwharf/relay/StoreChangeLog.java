package org.geraniumwharf.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.geraniumwharf.schema.messages.StoreChange;
import org.geraniumwharf.schema.messages.StoreChanges;
import org.geraniumwharf.schema.messages.StorePosition;

/**
 * The parts that each cache store holds and the newest changes of them, as one control instance
 * reads them from the stores for all entry instances. A store accepts only a few readers, so its
 * load must not grow with the number of entry instances.
 *
 * <p>Positions are those of the store. An entry instance that has followed another control instance
 * therefore continues from its own position. Safe for use by several threads; no other lock is
 * taken while its lock is held.
 */
public final class StoreChangeLog {

  /** Changes kept for each store; a reader that is further behind gets all parts. */
  private static final int MAX_KEPT_CHANGES = 2000;

  /** Length that marks a part as removed. */
  public static final int REMOVED = 0;

  private final Map<String, Store> stores = new TreeMap<>();

  private StoreChangeLog() {}

  public static StoreChangeLog create() {
    return new StoreChangeLog();
  }

  /**
   * Records a batch of changes read from a store.
   *
   * @param incarnation start of the store; another one means that it holds no earlier part
   * @param position position after the batch
   */
  public synchronized void record(
      String store, long incarnation, long position, List<StoreChange> changes) {
    Store held = stores.get(store);
    if (held == null || held.incarnation != incarnation) {
      held = new Store(incarnation);
      stores.put(store, held);
    }
    held.isAvailable = true;
    held.add(position, changes);
  }

  /** Records that a store does not answer. */
  public synchronized void recordUnavailable(String store) {
    Store held = stores.get(store);
    if (held != null) {
      held.isAvailable = false;
    }
  }

  /** Removes a store that is no longer configured. */
  public synchronized void removeStore(String store) {
    stores.remove(store);
  }

  /**
   * Returns the state of each available store, as changes since the position that the reader holds,
   * or as all parts if the changes since then are not known.
   */
  public synchronized List<StoreChanges> changesSince(List<StorePosition> positions) {
    Map<String, StorePosition> held = new TreeMap<>();
    positions.forEach(position -> held.put(position.store(), position));
    List<StoreChanges> answers = new ArrayList<>();
    stores.forEach(
        (name, store) -> {
          if (store.isAvailable) {
            answers.add(store.changesSince(name, held.get(name)));
          }
        });
    return answers;
  }

  /** Changes that a store reported together. */
  private record Batch(long from, long to, List<StoreChange> changes) {}

  private static final class Store {

    private final long incarnation;
    private final Map<String, StoreChange> parts = new LinkedHashMap<>();
    private final Deque<Batch> batches = new ArrayDeque<>();
    private int keptChanges;
    private long position;
    private boolean isAvailable;

    Store(long incarnation) {
      this.incarnation = incarnation;
    }

    void add(long newPosition, List<StoreChange> changes) {
      for (StoreChange change : changes) {
        String key = change.scope() + '/' + change.part();
        if (change.tokens() == REMOVED) {
          parts.remove(key);
        } else {
          parts.put(key, change);
        }
      }
      if (newPosition != position) {
        batches.add(new Batch(position, newPosition, List.copyOf(changes)));
        keptChanges += changes.size();
        position = newPosition;
      }
      while (keptChanges > MAX_KEPT_CHANGES) {
        keptChanges -= batches.remove().changes().size();
      }
    }

    StoreChanges changesSince(String name, StorePosition held) {
      boolean isSameStart = held != null && held.incarnation() == incarnation;
      if (isSameStart && held.position() >= position) {
        return StoreChanges.of(name, incarnation, held.position(), false, List.of());
      }
      if (!isSameStart || held.position() < oldestPosition()) {
        return StoreChanges.of(name, incarnation, position, true, List.copyOf(parts.values()));
      }
      List<StoreChange> changes = new ArrayList<>();
      for (Batch batch : batches) {
        if (batch.to() > held.position()) {
          changes.addAll(batch.changes());
        }
      }
      return StoreChanges.of(name, incarnation, position, false, changes);
    }

    private long oldestPosition() {
      return batches.isEmpty() ? position : batches.getFirst().from();
    }
  }
}
