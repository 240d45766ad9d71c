package org.geraniumwharf.internal.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.WatchFreshness;
import org.geraniumwharf.schema.view.FleetView;
import org.junit.jupiter.api.Test;

class ViewStreamTest {

  private static final long AGE_MILLIS = 86_400_000;
  private static final long UP_MILLIS = 4000;

  private final ViewStream stream =
      new ViewStream(
          () -> FleetView.of(10, 1, List.of(), List.of(), List.of(), List.of(), List.of()),
          List::of,
          List::of,
          () -> UP_MILLIS);

  /**
   * Guards against entries that learn nothing of a started process until its group has a leader, so
   * that they cannot tell that the confirmation of their view is due.
   */
  @Test
  void should_tell_a_watcher_with_a_newer_view_how_long_the_process_has_run() {
    List<ControlAnswer> received = new ArrayList<>();
    stream.addWatcher(20, received::add, AGE_MILLIS);

    stream.sendFreshness(10, AGE_MILLIS);

    assertEquals(
        List.of(WatchFreshness.of(10, AGE_MILLIS, Optional.of(UP_MILLIS), List.of())), received);
  }

  @Test
  void should_admit_a_watcher_with_a_newer_view_once_the_replica_has_caught_up() {
    List<ControlAnswer> received = new ArrayList<>();
    stream.addWatcher(20, received::add, AGE_MILLIS);

    stream.sendFreshness(20, 100);
    stream.sendFreshness(20, 200);

    assertEquals(
        List.of(
            WatchFreshness.of(20, 100, Optional.of(UP_MILLIS), List.of()),
            WatchFreshness.of(20, 200, Optional.of(UP_MILLIS), List.of())),
        received);
  }

  /** Guards against watchers whose connection has gone and that are kept until a catch-up. */
  @Test
  void should_remove_a_waiting_watcher_whose_connection_has_gone() {
    int[] offers = {0};
    stream.addWatcher(
        20,
        message -> {
          offers[0]++;
          return false;
        },
        AGE_MILLIS);

    stream.sendFreshness(10, AGE_MILLIS);
    stream.sendFreshness(10, AGE_MILLIS);

    assertEquals(1, offers[0]);
  }
}
