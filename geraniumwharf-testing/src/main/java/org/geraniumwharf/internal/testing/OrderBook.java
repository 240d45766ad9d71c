package org.geraniumwharf.internal.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Predicate;
import org.geraniumwharf.schema.targets.OrderProgress;
import org.geraniumwharf.schema.targets.OrderState;
import org.geraniumwharf.schema.targets.WeightOrder;

/** Orders of an engine: carried out one after another, each once, old ones refused if it checks. */
final class OrderBook {

  private final boolean isFencing;
  private final Predicate<WeightOrder> work;
  private final Runnable changed;
  private final ExecutorService worker = Executors.newSingleThreadExecutor();
  private final List<WeightOrder> carriedOut = new ArrayList<>();
  private Optional<OrderProgress> progress = Optional.empty();

  OrderBook(boolean isFencing, Predicate<WeightOrder> work, Runnable changed) {
    this.isFencing = isFencing;
    this.work = work;
    this.changed = changed;
  }

  synchronized Optional<OrderProgress> progress() {
    return progress;
  }

  /** Returns the orders that were begun, in that order. */
  synchronized List<WeightOrder> carriedOut() {
    return List.copyOf(carriedOut);
  }

  synchronized void take(WeightOrder order) {
    boolean isRepeated =
        carriedOut.stream().anyMatch(taken -> taken.sequence() == order.sequence());
    boolean isOld =
        progress
            .filter(newest -> order.term() < newest.term() || order.sequence() < newest.sequence())
            .isPresent();
    if (isRepeated || (isFencing && isOld)) {
      return;
    }
    carriedOut.add(order);
    note(order, OrderState.WORKING);
    worker.execute(() -> carryOut(order));
  }

  private void carryOut(WeightOrder order) {
    note(order, work.test(order) ? OrderState.DONE : OrderState.FAILED);
    changed.run();
  }

  private synchronized void note(WeightOrder order, OrderState state) {
    progress = Optional.of(OrderProgress.of(order.term(), order.sequence(), state));
  }
}
