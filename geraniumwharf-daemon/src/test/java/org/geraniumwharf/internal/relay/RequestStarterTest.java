package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Starts of requests after a restart, on a clock that stands still. */
class RequestStarterTest {

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final RequestStarter starter =
      new RequestStarter(channel.eventLoop(), () -> Instant.ofEpochSecond(1000));
  private final List<String> started = new ArrayList<>();

  private void add(String name) {
    starter.add(() -> started.add(name));
  }

  private void addDeferred(String name) {
    starter.addDeferred(() -> started.add(name));
  }

  /** Guards against a backlog of late requests that makes each fresh one late too. */
  @Test
  void should_start_fresh_requests_before_those_that_missed_their_goal() {
    addDeferred("late-1");
    addDeferred("late-2");
    add("fresh-1");
    add("fresh-2");

    channel.runPendingTasks();

    assertEquals(List.of("fresh-1", "fresh-2", "late-1", "late-2"), started);
  }

  /** Guards against late requests that never start while fresh ones keep arriving. */
  @Test
  void should_start_one_deferred_request_in_four() {
    addDeferred("late");
    for (int i = 1; i <= 5; i++) {
      add("fresh-" + i);
    }

    channel.runPendingTasks();

    assertEquals(List.of("fresh-1", "fresh-2", "fresh-3", "late", "fresh-4", "fresh-5"), started);
  }
}
