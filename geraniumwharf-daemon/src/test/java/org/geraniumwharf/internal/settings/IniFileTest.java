package org.geraniumwharf.internal.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.StringReader;
import java.util.List;
import org.apache.commons.configuration2.INIConfiguration;
import org.junit.jupiter.api.Test;

class IniFileTest {

  private static final List<String> LINES =
      List.of(
          "; a comment",
          "[node]",
          "name = node-1",
          "data-folder =",
          "cluster-key = a key; with # signs=and",
          "  spaced   =   two words   ",
          "commented = value ; behind",
          "quoted = \"a ; b\"",
          "# another",
          "",
          "[listen]",
          "peer = 127.0.0.1:7020",
          "[node]",
          "later = 1");

  /** Guards against settings that read differently from before, when a library read them. */
  @Test
  void should_read_values_as_the_library_does() throws Exception {
    INIConfiguration library = new INIConfiguration();
    library.read(new StringReader(String.join("\n", LINES)));

    IniFile file = IniFile.parse(LINES);

    for (String key :
        List.of(
            "name",
            "data-folder",
            "cluster-key",
            "spaced",
            "commented",
            "quoted",
            "later",
            "none")) {
      assertEquals(
          library.getSection("node").getString(key, "").strip(), file.value("node", key), key);
    }
    assertEquals("127.0.0.1:7020", file.value("listen", "peer"));
    assertEquals("", file.value("none", "peer"));
  }

  @Test
  void should_refuse_a_line_that_is_no_pair() {
    assertThrows(IOException.class, () -> IniFile.parse(List.of("[node]", "name")));
  }
}
