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

  /** Length of most lines, so that they do not grow piece by piece. */
  private static final int LINE_CAPACITY = 256;

  private final String name;
  private final StringBuilder line = new StringBuilder(LINE_CAPACITY);

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

  /** Adds a pair with a whole number. The key is not escaped and must be a constant. */
  public Event with(String key, long value) {
    appendKey(key);
    line.append(value);
    return this;
  }

  public String name() {
    return name;
  }

  public String line() {
    return line.toString();
  }

  private void append(String key, String value) {
    appendKey(key);
    if (isPlain(value)) {
      line.append(value);
    } else {
      appendQuoted(value);
    }
  }

  private void appendKey(String key) {
    if (!line.isEmpty()) {
      line.append(' ');
    }
    line.append(key).append('=');
  }

  private static boolean isPlain(String value) {
    int length = value.length();
    if (length == 0 || length > MAX_VALUE_LENGTH) {
      return false;
    }
    for (int i = 0; i < length; i++) {
      if (!isPlainCharacter(value.charAt(i))) {
        return false;
      }
    }
    return true;
  }

  private static boolean isPlainCharacter(char character) {
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
