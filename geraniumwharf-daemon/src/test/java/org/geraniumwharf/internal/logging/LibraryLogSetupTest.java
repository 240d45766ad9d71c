package org.geraniumwharf.internal.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.util.internal.logging.InternalLogger;
import java.util.ArrayList;
import java.util.List;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.junit.jupiter.api.Test;

class LibraryLogSetupTest {

  private final List<String> lines = new ArrayList<>();
  private final EventLog log =
      new EventLog() {
        @Override
        public void info(Event event) {
          throw new IllegalStateException("libraries log warnings only");
        }

        @Override
        public void warn(Event event) {
          lines.add(event.line());
        }
      };

  /** Guards against warnings of Netty that are lost, and text of it that is logged as events. */
  @Test
  void should_pass_on_warnings_and_errors_of_netty_only() {
    InternalLogger logger = EventLoggerFactory.of(log).newInstance("io.netty.Part");

    logger.info("started {}", 1);
    logger.debug("detail");
    logger.warn("failed {} of {}", 1, 2);
    logger.error("broken", new IllegalStateException("why"));

    assertEquals(
        List.of(
            "event=library logger=io.netty.Part message=\"failed 1 of 2\" cause=none",
            "event=library logger=io.netty.Part message=broken"
                + " cause=\"java.lang.IllegalStateException: why\""),
        lines);
  }

  /** Guards against warnings of other libraries that never reach the log. */
  @Test
  void should_install_the_handler_when_the_log_of_the_jdk_is_set_up() {
    LibraryLogSetup.prepare(log);

    new LibraryLogSetup();
    java.util.logging.Logger.getLogger("some.Library").warning("full");
    java.util.logging.Logger.getLogger("some.Library").info("fine");

    assertEquals(List.of("event=library logger=some.Library message=full cause=none"), lines);
  }
}
