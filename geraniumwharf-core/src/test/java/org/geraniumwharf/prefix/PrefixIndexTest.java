package org.geraniumwharf.prefix;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PrefixIndexTest {

  private final PrefixIndex index = PrefixIndex.create(8);

  @Test
  void should_match_the_longest_held_prefix() {
    List<PieceName> pieces = pieces(6);
    index.add("engine-1", pieces.subList(0, 4));

    assertEquals(4, index.matchedPieces("engine-1", pieces));
    assertEquals(2, index.matchedPieces("engine-1", pieces.subList(0, 2)));
    assertEquals(0, index.matchedPieces("engine-2", pieces));
  }

  @Test
  void should_not_match_removed_pieces() {
    List<PieceName> pieces = pieces(4);
    index.add("engine-1", pieces);

    index.remove("engine-1", pieces.subList(2, 4));

    assertEquals(2, index.matchedPieces("engine-1", pieces));
  }

  @Test
  void should_limit_the_number_of_pieces_of_a_target() {
    for (int i = 0; i < 100; i++) {
      index.add("engine-1", List.of(new PieceName(i, i)));
    }

    assertEquals(8, index.size());
  }

  @Test
  void should_return_the_target_with_the_most_leading_pieces_first() {
    List<PieceName> pieces = pieces(8);
    index.add("engine-1", pieces.subList(0, 4));
    index.add("engine-2", pieces.subList(0, 6));

    List<PrefixIndex.Holder> holders = index.holders(pieces);

    assertEquals(
        List.of(new PrefixIndex.Holder("engine-2", 6), new PrefixIndex.Holder("engine-1", 4)),
        holders);
  }

  @Test
  void should_not_return_a_target_after_eviction_or_removal_of_its_pieces() {
    List<PieceName> pieces = pieces(2);
    index.add("engine-1", pieces);
    index.add("engine-2", pieces);
    index.add("engine-3", pieces);

    for (int i = 0; i < 8; i++) {
      index.add("engine-1", List.of(new PieceName(i, i)));
    }
    index.remove("engine-2", pieces);
    index.removeTarget("engine-3");

    assertEquals(List.of(), index.holders(pieces));
  }

  private static List<PieceName> pieces(int count) {
    List<PieceName> pieces = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      pieces.add(new PieceName(7, i));
    }
    return pieces;
  }
}
