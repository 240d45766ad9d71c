package org.geraniumwharf.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.geraniumwharf.prefix.PieceName;
import org.junit.jupiter.api.Test;

class TargetLoadTableTest {

  private static final PieceName FIRST = PieceName.parse("0".repeat(32));
  private static final PieceName SECOND = PieceName.parse("1".repeat(32));

  private final TargetLoadTable table = TargetLoadTable.create(3, 100);

  @Test
  void should_count_pieces_that_a_target_stored_and_did_not_remove() {
    table.updateCachedPieces("engine-1", List.of(FIRST, SECOND), List.of());

    table.updateCachedPieces("engine-1", List.of(), List.of(FIRST));

    assertEquals(1, table.cacheHints());
  }

  @Test
  void should_not_count_a_piece_that_was_stored_and_removed_within_one_batch() {
    table.updateCachedPieces("engine-1", List.of(FIRST, SECOND), List.of(FIRST, SECOND));

    assertEquals(0, table.cacheHints());
  }
}
