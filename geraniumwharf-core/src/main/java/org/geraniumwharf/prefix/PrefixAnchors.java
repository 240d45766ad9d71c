package org.geraniumwharf.prefix;

import java.util.ArrayList;
import java.util.List;

/**
 * Selects the pieces that are hashed to find the preferred targets of a context: those at the two
 * greatest powers of two within its length in pieces. A growing context keeps at least one anchor
 * until it is four times as long. Contexts that share only a short preamble get different anchors,
 * so that they are not all placed on the same targets.
 */
public final class PrefixAnchors {

  private static final int MAX_ANCHORS = 2;

  private PrefixAnchors() {}

  /** Returns the anchors, longest prefix first; empty for a context without a full piece. */
  public static List<PieceName> of(List<PieceName> pieces) {
    List<PieceName> anchors = new ArrayList<>(MAX_ANCHORS);
    int length = Integer.highestOneBit(pieces.size());
    while (length > 0 && anchors.size() < MAX_ANCHORS) {
      anchors.add(pieces.get(length - 1));
      length >>= 1;
    }
    return anchors;
  }
}
