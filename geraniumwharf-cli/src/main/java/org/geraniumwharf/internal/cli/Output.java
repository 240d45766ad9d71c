package org.geraniumwharf.internal.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.geraniumwharf.schema.Codec;

/** Prints tables for people or JSON for programs. */
public final class Output {

  private static final String GAP = "  ";

  private final PrintStream stream;
  private final boolean isJson;

  private Output(PrintStream stream, boolean isJson) {
    this.stream = stream;
    this.isJson = isJson;
  }

  public static Output of(PrintStream stream, boolean isJson) {
    return new Output(stream, isJson);
  }

  boolean isJson() {
    return isJson;
  }

  void json(Object value) {
    stream.println(Codec.json().encodeIndented(value));
  }

  void line(String text) {
    stream.println(text);
  }

  /** Prints rows under a heading, each column as wide as its widest cell. */
  void table(List<String> heading, List<List<String>> rows) {
    List<List<String>> all = new ArrayList<>();
    all.add(heading);
    all.addAll(rows);
    int[] widths = new int[heading.size()];
    for (List<String> row : all) {
      for (int i = 0; i < widths.length; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    all.forEach(row -> stream.println(format(row, widths)));
  }

  private static String format(List<String> row, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < widths.length; i++) {
      String cell = row.get(i);
      line.append(cell).append(" ".repeat(widths[i] - cell.length())).append(GAP);
    }
    return line.toString().stripTrailing();
  }
}
