package org.geraniumwharf.internal.logging;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.MessageFormatter;
import java.util.Optional;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;

/** Passes the warnings and errors of Netty on as events, without the JDK's log. */
public final class EventLoggerFactory extends InternalLoggerFactory {

  private final EventLog log;

  private EventLoggerFactory(EventLog log) {
    this.log = log;
  }

  public static EventLoggerFactory of(EventLog log) {
    return new EventLoggerFactory(log);
  }

  @Override
  protected InternalLogger newInstance(String name) {
    return new EventLogger(name, log);
  }

  /** Logs nothing below a warning. */
  private static final class EventLogger extends AbstractInternalLogger {

    private static final long serialVersionUID = 1L;

    private final transient EventLog log;

    EventLogger(String name, EventLog log) {
      super(name);
      this.log = log;
    }

    private void add(String message, Throwable thrown) {
      log.warn(
          Event.of("library")
              .with("logger", name())
              .with("message", message)
              .with("cause", Optional.ofNullable(thrown).map(Throwable::toString).orElse("none")));
    }

    @Override
    public boolean isTraceEnabled() {
      return false;
    }

    @Override
    public void trace(String message) {}

    @Override
    public void trace(String format, Object argument) {}

    @Override
    public void trace(String format, Object first, Object second) {}

    @Override
    public void trace(String format, Object... arguments) {}

    @Override
    public void trace(String message, Throwable thrown) {}

    @Override
    public boolean isDebugEnabled() {
      return false;
    }

    @Override
    public void debug(String message) {}

    @Override
    public void debug(String format, Object argument) {}

    @Override
    public void debug(String format, Object first, Object second) {}

    @Override
    public void debug(String format, Object... arguments) {}

    @Override
    public void debug(String message, Throwable thrown) {}

    @Override
    public boolean isInfoEnabled() {
      return false;
    }

    @Override
    public void info(String message) {}

    @Override
    public void info(String format, Object argument) {}

    @Override
    public void info(String format, Object first, Object second) {}

    @Override
    public void info(String format, Object... arguments) {}

    @Override
    public void info(String message, Throwable thrown) {}

    @Override
    public boolean isWarnEnabled() {
      return true;
    }

    @Override
    public void warn(String message) {
      add(message, null);
    }

    @Override
    public void warn(String format, Object argument) {
      var formatted = MessageFormatter.format(format, argument);
      add(formatted.getMessage(), formatted.getThrowable());
    }

    @Override
    public void warn(String format, Object first, Object second) {
      var formatted = MessageFormatter.format(format, first, second);
      add(formatted.getMessage(), formatted.getThrowable());
    }

    @Override
    public void warn(String format, Object... arguments) {
      var formatted = MessageFormatter.arrayFormat(format, arguments);
      add(formatted.getMessage(), formatted.getThrowable());
    }

    @Override
    public void warn(String message, Throwable thrown) {
      add(message, thrown);
    }

    @Override
    public boolean isErrorEnabled() {
      return true;
    }

    @Override
    public void error(String message) {
      warn(message);
    }

    @Override
    public void error(String format, Object argument) {
      warn(format, argument);
    }

    @Override
    public void error(String format, Object first, Object second) {
      warn(format, first, second);
    }

    @Override
    public void error(String format, Object... arguments) {
      warn(format, arguments);
    }

    @Override
    public void error(String message, Throwable thrown) {
      warn(message, thrown);
    }
  }
}
