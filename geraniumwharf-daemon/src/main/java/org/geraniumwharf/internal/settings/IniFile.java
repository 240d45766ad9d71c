package org.geraniumwharf.internal.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sections of an INI file with {@code key = value} lines. A line that begins with {@code ;} or
 * {@code #} is a comment, as is the rest of a value behind one of them that follows white space.
 *
 * <p>The settings of a node are read by this class and not by a library, whose set-up took 50 ms of
 * processor time of each start. Immutable.
 */
public final class IniFile {

  private static final String COMMENTS = ";#";

  private final Map<String, Map<String, String>> sections;

  private IniFile(Map<String, Map<String, String>> sections) {
    this.sections = sections;
  }

  /**
   * Reads a file.
   *
   * @throws IOException if it cannot be read, or a line is no section, pair or comment
   */
  public static IniFile read(Path file) throws IOException {
    return parse(Files.readAllLines(file));
  }

  static IniFile parse(List<String> lines) throws IOException {
    Map<String, Map<String, String>> sections = new HashMap<>();
    Map<String, String> section = sections.computeIfAbsent("", name -> new HashMap<>());
    for (String line : lines) {
      String text = line.strip();
      int equals = text.indexOf('=');
      if (text.isEmpty() || isComment(text.charAt(0))) {
        continue;
      }
      if (text.startsWith("[") && text.indexOf(']') > 0) {
        String name = text.substring(1, text.indexOf(']')).strip();
        section = sections.computeIfAbsent(name, key -> new HashMap<>());
      } else if (equals > 0) {
        section.put(text.substring(0, equals).strip(), value(text.substring(equals + 1).strip()));
      } else {
        throw new IOException("expected key = value but found " + text);
      }
    }
    return new IniFile(sections);
  }

  private static String value(String text) {
    if (text.startsWith("\"") && text.indexOf('"', 1) > 0) {
      return text.substring(1, text.indexOf('"', 1));
    }
    for (int i = 0; i < text.length(); i++) {
      if (isComment(text.charAt(i)) && (i == 0 || Character.isWhitespace(text.charAt(i - 1)))) {
        return text.substring(0, i).strip();
      }
    }
    return text;
  }

  private static boolean isComment(char character) {
    return COMMENTS.indexOf(character) >= 0;
  }

  /** Returns the values of a section by their keys; none if it is missing. */
  public Map<String, String> section(String section) {
    return Map.copyOf(sections.getOrDefault(section, Map.of()));
  }

  /** Returns a value; empty if the key is missing. */
  public String value(String section, String key) {
    return sections.getOrDefault(section, Map.of()).getOrDefault(key, "");
  }
}
