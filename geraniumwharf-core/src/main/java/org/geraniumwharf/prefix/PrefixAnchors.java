package org.geraniumwharf.prefix;

import java.util.ArrayList;
import java.util.List;

/**
 * Pieces whose names give a context its homes: those at the two greatest powers of two within its
 * length. A context that grows keeps at least one of them until it has grown fourfold, and contexts
 * that share only a preamble part ways beyond it.
 */
public final class PrefixAnchors {

  private static final int MAX_ANCHORS = 2;

  private PrefixAnchors() {}

  /** Returns the anchors, deepest first; empty for a context without a full piece. */
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
