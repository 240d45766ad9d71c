package org.geraniumwharf.testing;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Keeps docs/FAULTS.md in step with the scenarios and tests that it names. {@code
 * -Ddocs.write=true} writes the page anew.
 */
final class FaultMatrixTest {

  private static final Path PAGE = Path.of("..", "docs", "FAULTS.md");
  private static final Path MATRIX = Path.of("src", "test", "resources", "fault-matrix.txt");
  private static final Path REPORTS = Path.of("src", "test", "resources", "operator-reports.txt");
  private static final Path FEATURES = Path.of("src", "test", "resources", "features");

  /** One cell: what a fault at a step is shown by, why it cannot arise, or that it is open. */
  private record Cell(String step, String fault, String verdict, String kind, String text) {

    static Cell parse(String line) {
      String[] parts = line.split("\\|", -1);
      return new Cell(parts[0], parts[1], parts[2], parts[3], parts[4]);
    }

    String shown() {
      return switch (verdict) {
        case "shown" -> (kind.equals("feature") ? "scenario: " : "test: ") + text;
        case "impossible" -> "cannot arise: " + text;
        default -> "**not shown**" + (text.isEmpty() ? "" : ": " + text);
      };
    }
  }

  /** A fault that operators of similar systems reported, and the tests that show it here. */
  private record Report(String fault, List<String> tests) {

    static Report parse(String line) {
      List<String> parts = List.of(line.split("\\|", -1));
      return new Report(parts.get(0), parts.subList(1, parts.size()));
    }

    String row() {
      List<String> names = tests.stream().map(test -> "`" + test + "`").toList();
      return "| " + fault + " | " + String.join(", ", names) + " |";
    }
  }

  @Test
  void should_have_one_cell_for_each_fault_at_each_step() throws IOException {
    List<Cell> cells = cells();

    Set<String> steps = new LinkedHashSet<>(cells.stream().map(Cell::step).toList());
    Set<String> faults = new LinkedHashSet<>(cells.stream().map(Cell::fault).toList());

    assertEquals(steps.size() * faults.size(), cells.size());
  }

  @Test
  void should_name_scenarios_and_tests_that_exist() throws IOException {
    String features = contents(FEATURES, ".feature");
    Map<String, Path> sources = testSources();

    for (Cell cell : cells()) {
      if (cell.kind().equals("feature")) {
        assertTrue(features.contains("Scenario: " + cell.text() + "\n"), cell.text());
      } else if (cell.kind().equals("test")) {
        assertTrue(isTest(cell.text(), sources), cell.text());
      }
    }
  }

  @Test
  void should_name_tests_that_exist_for_each_report_of_operators() throws IOException {
    Map<String, Path> sources = testSources();

    for (Report report : reports()) {
      assertTrue(!report.tests().isEmpty(), report.fault());
      for (String test : report.tests()) {
        assertTrue(isTest(test, sources), test);
      }
    }
  }

  @Test
  void should_be_printed_in_the_documentation() throws IOException {
    String expected = page();
    if (Boolean.getBoolean("docs.write")) {
      Files.writeString(PAGE, expected);
    }

    assertEquals(expected, Files.readString(PAGE), "run the tests with -Ddocs.write=true");
  }

  private static boolean isTest(String reference, Map<String, Path> sources) throws IOException {
    String[] parts = reference.split("#", -1);
    Path source = sources.get(parts[0] + ".java");
    return source != null && Files.readString(source).contains("void " + parts[1] + "(");
  }

  private static Map<String, Path> testSources() throws IOException {
    Map<String, Path> sources = new HashMap<>();
    try (Stream<Path> modules = Files.list(Path.of(".."))) {
      for (Path module : modules.map(path -> path.resolve("src/test/java")).toList()) {
        addSources(module, sources);
      }
    }
    return sources;
  }

  private static void addSources(Path module, Map<String, Path> sources) throws IOException {
    if (Files.isDirectory(module)) {
      try (Stream<Path> files = Files.walk(module)) {
        files.forEach(path -> sources.put(path.getFileName().toString(), path));
      }
    }
  }

  private static String contents(Path folder, String suffix) throws IOException {
    StringBuilder contents = new StringBuilder();
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.filter(path -> path.toString().endsWith(suffix)).toList()) {
        contents.append(Files.readString(file, UTF_8));
      }
    }
    return contents.toString();
  }

  private static List<Cell> cells() throws IOException {
    return Files.readAllLines(MATRIX).stream().map(Cell::parse).toList();
  }

  private static List<Report> reports() throws IOException {
    return Files.readAllLines(REPORTS).stream().map(Report::parse).toList();
  }

  private static String page() throws IOException {
    List<Cell> cells = cells();
    List<String> lines = new ArrayList<>();
    lines.add("# Faults");
    lines.add("");
    lines.add(
        "Each fault at each step. Written by `FaultMatrixTest`, which checks that every named");
    lines.add(
        "scenario and test exists; `mvn -B verify` runs them all. A cell that is not shown names");
    lines.add("what is built for it, if anything.");
    lines.add("");
    lines.add("| step | shown | cannot arise | not shown |");
    lines.add("|---|---|---|---|");
    Set<String> steps = new LinkedHashSet<>(cells.stream().map(Cell::step).toList());
    steps.forEach(step -> lines.add(counts(step, cells)));
    for (String step : steps) {
      lines.add("");
      lines.add("## " + step);
      lines.add("");
      lines.add("| fault | |");
      lines.add("|---|---|");
      cells.stream()
          .filter(cell -> cell.step().equals(step))
          .forEach(cell -> lines.add("| " + cell.fault() + " | " + cell.shown() + " |"));
    }
    lines.add("");
    lines.add("## Reports of other operators");
    lines.add("");
    lines.add("What went wrong in similar systems, and the tests that show that it does not here.");
    lines.add("");
    lines.add("| fault | tests |");
    lines.add("|---|---|");
    reports().forEach(report -> lines.add(report.row()));
    return String.join("\n", lines) + "\n";
  }

  private static String counts(String step, List<Cell> cells) {
    return "| "
        + step
        + " | "
        + count(step, "shown", cells)
        + " | "
        + count(step, "impossible", cells)
        + " | "
        + count(step, "open", cells)
        + " |";
  }

  private static long count(String step, String verdict, List<Cell> cells) {
    return cells.stream()
        .filter(cell -> cell.step().equals(step) && cell.verdict().equals(verdict))
        .count();
  }
}
