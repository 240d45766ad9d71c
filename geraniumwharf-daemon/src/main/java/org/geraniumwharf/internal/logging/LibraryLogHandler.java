package org.geraniumwharf.internal.logging;

import java.util.Optional;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;

/** Passes the warnings that libraries write to the JDK's log on as events. */
final class LibraryLogHandler extends Handler {

  private static final String ROOT_LOGGER = "";

  private final EventLog log;

  private LibraryLogHandler(EventLog log) {
    this.log = log;
  }

  /** Replaces all handlers of the JDK's log. */
  static void install(EventLog log) {
    Logger root = Logger.getLogger(ROOT_LOGGER);
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    root.setLevel(Level.WARNING);
    root.addHandler(new LibraryLogHandler(log));
  }

  @Override
  public void publish(LogRecord written) {
    log.warn(
        Event.of("library")
            .with("logger", written.getLoggerName())
            .with("message", written.getMessage())
            .with("cause", cause(written)));
  }

  private static String cause(LogRecord written) {
    return Optional.ofNullable(written.getThrown()).map(Throwable::toString).orElse("none");
  }

  @Override
  public void flush() {}

  @Override
  public void close() {}
}
