package org.geraniumwharf.logging;

import java.util.Objects;

/**
 * Log event as one line of key=value pairs. Values are quoted and escaped where needed, so that
 * untrusted text can neither end the line nor add a pair.
 *
 * <pre>{@code
 * Event.of("decision").with("request", id).with("target", target).line();
 * // event=decision request=7f3a target=engine-1
 * }</pre>
 */
public final class Event {

  private static final int MAX_VALUE_LENGTH = 512;

  private final String name;
  private final StringBuilder line = new StringBuilder();

  private Event(String name) {
    this.name = name;
    append("event", name);
  }

  public static Event of(String name) {
    return new Event(name);
  }

  /** Adds a pair. The key is not escaped and must be a constant; the value may be untrusted. */
  public Event with(String key, Object value) {
    append(key, Objects.toString(value));
    return this;
  }

  public String name() {
    return name;
  }

  public String line() {
    return line.toString();
  }

  private void append(String key, String value) {
    if (!line.isEmpty()) {
      line.append(' ');
    }
    line.append(key).append('=');
    if (isPlain(value)) {
      line.append(value);
    } else {
      appendQuoted(value);
    }
  }

  private static boolean isPlain(String value) {
    return !value.isEmpty()
        && value.length() <= MAX_VALUE_LENGTH
        && value.chars().allMatch(Event::isPlainCharacter);
  }

  private static boolean isPlainCharacter(int character) {
    return character > ' '
        && character < 0x7f
        && character != '"'
        && character != '='
        && character != '\\';
  }

  private void appendQuoted(String value) {
    line.append('"');
    int end = Math.min(value.length(), MAX_VALUE_LENGTH);
    for (int i = 0; i < end; i++) {
      appendEscaped(value.charAt(i));
    }
    if (end < value.length()) {
      line.append("...");
    }
    line.append('"');
  }

  private void appendEscaped(char character) {
    if (character == '"' || character == '\\') {
      line.append('\\').append(character);
    } else if (character < ' ' || character >= 0x7f) {
      line.append(String.format("\\u%04x", (int) character));
    } else {
      line.append(character);
    }
  }

  @Override
  public String toString() {
    return line();
  }
}
