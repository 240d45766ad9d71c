package org.geraniumwharf.internal.logging;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;

/** Writes each event as one line. */
public final class Log4jEventLog implements EventLog {

  private static final Logger LOGGER = LogManager.getLogger("org.geraniumwharf.events");

  private Log4jEventLog() {}

  public static EventLog create() {
    return new Log4jEventLog();
  }

  @Override
  public void info(Event event) {
    LOGGER.info("{}", event);
  }

  @Override
  public void warn(Event event) {
    LOGGER.warn("{}", event);
  }
}
