package org.geraniumwharf.internal.logging;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.geraniumwharf.logging.Event;
import org.junit.jupiter.api.Test;

class StreamEventLogTest {

  private static final Instant NOW = Instant.parse("2026-12-05T10:00:07.043Z");

  /** More than the queue holds together with the batch that the stuck write took from it. */
  private static final int MORE_THAN_QUEUED = 9000;

  @Test
  void should_write_each_event_as_a_line_with_time_and_level() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    StreamEventLog log = StreamEventLog.start(output, () -> NOW);

    log.info(Event.of("first").with("text", "a\nb"));
    log.warn(Event.of("second"));

    List<String> expected =
        List.of(
            "time=2026-12-05T10:00:07.043Z level=INFO event=first text=\"a\\u000ab\"",
            "time=2026-12-05T10:00:07.043Z level=WARN event=second");
    await().atMost(10, SECONDS).until(() -> lines(output).size() == 2);
    assertEquals(expected, lines(output));
  }

  @Test
  void should_drop_and_count_events_instead_of_waiting_for_a_reader_that_is_stuck()
      throws Exception {
    StuckStream output = new StuckStream();
    StreamEventLog log = StreamEventLog.start(output, () -> NOW);

    for (int i = 0; i < MORE_THAN_QUEUED; i++) {
      log.info(Event.of("event").with("number", i));
    }
    output.released.countDown();

    await()
        .atMost(10, SECONDS)
        .until(() -> lines(output.received).stream().anyMatch(StreamEventLogTest::isDropCount));
    assertTrue(lines(output.received).size() < MORE_THAN_QUEUED);
  }

  private static boolean isDropCount(String line) {
    return line.contains("level=WARN event=events-dropped count=");
  }

  private static List<String> lines(ByteArrayOutputStream output) {
    return output.toString(StandardCharsets.UTF_8).lines().toList();
  }

  /** A stream whose first write waits until it is released. */
  private static final class StuckStream extends OutputStream {

    private final CountDownLatch released = new CountDownLatch(1);
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();

    @Override
    public void write(int value) {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) {
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      received.write(bytes, offset, length);
    }
  }
}
