package org.geraniumwharf.internal.testing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Options of a stand-in, given as {@code --name=value}. */
public final class StandInOptions {

  private final Map<String, String> values;

  private StandInOptions(Map<String, String> values) {
    this.values = values;
  }

  public static StandInOptions parse(List<String> arguments) {
    Map<String, String> values = new HashMap<>();
    for (String argument : arguments) {
      int equals = argument.indexOf('=');
      if (!argument.startsWith("--") || equals < 0) {
        throw new IllegalArgumentException("expected --name=value but found " + argument);
      }
      values.put(argument.substring(2, equals), argument.substring(equals + 1));
    }
    return new StandInOptions(values);
  }

  String text(String name) {
    String value = values.get(name);
    if (value == null) {
      throw new IllegalArgumentException("the stand-in needs --" + name);
    }
    return value;
  }

  String text(String name, String otherwise) {
    return values.getOrDefault(name, otherwise);
  }

  int number(String name, int otherwise) {
    return Integer.parseInt(values.getOrDefault(name, String.valueOf(otherwise)));
  }

  boolean flag(String name, boolean otherwise) {
    return Boolean.parseBoolean(values.getOrDefault(name, String.valueOf(otherwise)));
  }

  List<String> list(String name) {
    String value = values.getOrDefault(name, "");
    return value.isEmpty() ? List.of() : List.of(value.split(","));
  }
}
