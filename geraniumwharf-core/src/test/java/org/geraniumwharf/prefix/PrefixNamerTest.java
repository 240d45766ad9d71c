package org.geraniumwharf.prefix;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class PrefixNamerTest {

  private static final PrefixScope SCOPE = PrefixScope.of("wanjiru", "drafter-v1", "00", "");

  private final PrefixNamer namer = PrefixNamer.of(4);

  @Test
  void should_name_full_pieces_only() {
    assertEquals(2, namer.namePieces(SCOPE, "abcdefghij".getBytes(UTF_8)).size());
    assertEquals(0, namer.namePieces(SCOPE, "abc".getBytes(UTF_8)).size());
  }

  @Test
  void should_keep_the_names_of_a_context_that_grows() {
    List<PieceName> before = namer.namePieces(SCOPE, "abcdefgh".getBytes(UTF_8));
    List<PieceName> after = namer.namePieces(SCOPE, "abcdefghijkl".getBytes(UTF_8));

    assertEquals(before, after.subList(0, 2));
  }

  @Test
  void should_parse_the_wire_name_of_a_piece() {
    PieceName name = namer.namePieces(SCOPE, "abcd".getBytes(UTF_8)).get(0);

    assertEquals(name, PieceName.parse(name.wireName()));
  }

  @Property
  void should_never_share_a_name_between_two_scopes(
      @ForAll @Size(4) List<@StringLength(max = 6) String> one,
      @ForAll @Size(4) List<@StringLength(max = 6) String> other,
      @ForAll @StringLength(min = 4, max = 40) String context) {
    List<PieceName> ones = namer.namePieces(scopeOf(one), context.getBytes(UTF_8));
    List<PieceName> others = namer.namePieces(scopeOf(other), context.getBytes(UTF_8));

    assertEquals(one.equals(other), !Collections.disjoint(ones, others));
  }

  @Test
  void should_distinguish_scopes_whose_parts_concatenate_to_the_same_text() {
    List<PieceName> ones =
        namer.namePieces(PrefixScope.of("ab", "c", "", ""), "text".getBytes(UTF_8));
    List<PieceName> others =
        namer.namePieces(PrefixScope.of("a", "bc", "", ""), "text".getBytes(UTF_8));

    assertNotEquals(ones, others);
    assertTrue(Collections.disjoint(ones, others));
  }

  private static PrefixScope scopeOf(List<String> parts) {
    return PrefixScope.of(parts.get(0), parts.get(1), parts.get(2), parts.get(3));
  }
}
