package org.geraniumwharf.error;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Run with {@code -Ddocs.write=true} to regenerate docs/ERRORS.md. */
class ErrorKindTest {

  private static final Path PAGE = Path.of("..", "docs", "ERRORS.md");

  @Test
  void should_match_the_generated_documentation() throws IOException {
    String expected = page();
    if (Boolean.getBoolean("docs.write")) {
      Files.writeString(PAGE, expected);
    }

    assertEquals(expected, Files.readString(PAGE), "run the tests with -Ddocs.write=true");
  }

  @Test
  void should_be_found_by_its_wire_name() {
    for (ErrorKind kind : ErrorKind.values()) {
      assertEquals(kind, ErrorKind.ofWireName(kind.wireName()));
    }
  }

  private static String page() {
    StringBuilder page = new StringBuilder();
    page.append("# Error kinds\n\n");
    page.append("Every error answer has the form that OpenAI clients expect, with `code` from the");
    page.append(" table below and `run`:\n\n");
    for (Execution execution : Execution.values()) {
      page.append("- `").append(execution.wireName()).append("`: ");
      page.append(meaningOf(execution)).append('\n');
    }
    page.append("\nA test prints this page from `ErrorKind` and fails when they differ.\n\n");
    page.append("| code | HTTP | type | meaning | what to do |\n|---|---|---|---|---|\n");
    for (ErrorKind kind : ErrorKind.values()) {
      page.append(
          String.format(
              "| `%s` | %d | `%s` | %s | %s |%n",
              kind.wireName(),
              kind.httpStatus(),
              kind.type().wireName(),
              kind.meaning(),
              kind.advice()));
    }
    return page.toString();
  }

  private static String meaningOf(Execution execution) {
    return switch (execution) {
      case NOT_RUN -> "certainly not carried out; the request may be sent again";
      case MAY_HAVE_RUN -> "possibly carried out, in whole or in part";
      case RAN -> "carried out, though the answer is not available";
    };
  }
}
