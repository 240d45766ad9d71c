package org.geraniumwharf.logging;

/** Log of events. */
public interface EventLog {

  /** Logs an event of normal operation. */
  void info(Event event);

  /** Logs an event that needs the attention of an operator. */
  void warn(Event event);

  /** Returns a log that discards every event. */
  static EventLog none() {
    return new EventLog() {
      @Override
      public void info(Event event) {}

      @Override
      public void warn(Event event) {}
    };
  }
}
