package org.geraniumwharf.internal.logging;

import java.util.Optional;
import org.geraniumwharf.logging.EventLog;

/**
 * Sets the JDK's log up when a library first uses it, and not before: that takes more processor
 * time than reading the settings, and most processes never use it.
 */
public final class LibraryLogSetup {

  private static final String CONFIGURATION_CLASS = "java.util.logging.config.class";

  private static volatile Optional<EventLog> target = Optional.empty();

  /** Called by the JDK when its log is first used. */
  public LibraryLogSetup() {
    target.ifPresent(LibraryLogHandler::install);
  }

  /** Makes the JDK's log pass warnings on to an event log from its first use on. */
  public static void prepare(EventLog log) {
    target = Optional.of(log);
    System.setProperty(CONFIGURATION_CLASS, LibraryLogSetup.class.getName());
  }
}
