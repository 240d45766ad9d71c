package org.geraniumwharf.prefix;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.geraniumwharf.internal.checks.Checks;

/**
 * Index of the pieces that each target is expected to hold. Entries are hints: a wrong one adds
 * latency and never changes a response. Each target's entries are limited in number; the least
 * recently used are evicted. Not thread-safe.
 */
public final class PrefixIndex {

  private static final int MAX_HOLDERS_PER_PIECE = 8;

  private final int piecesPerTarget;
  private final Map<String, LruPieces> piecesByTarget = new HashMap<>();
  private final Map<PieceName, List<String>> holders = new HashMap<>();

  private PrefixIndex(int piecesPerTarget) {
    this.piecesPerTarget = piecesPerTarget;
  }

  /**
   * Creates an empty index.
   *
   * @param piecesPerTarget maximum number of pieces recorded for each target
   */
  public static PrefixIndex create(int piecesPerTarget) {
    return new PrefixIndex(Checks.checkPositive(piecesPerTarget, "piecesPerTarget"));
  }

  /** Records that a target holds these pieces. */
  public void add(String target, Collection<PieceName> pieces) {
    LruPieces held =
        piecesByTarget.computeIfAbsent(
            target, name -> new LruPieces(piecesPerTarget, piece -> removeHolder(piece, name)));
    for (PieceName piece : pieces) {
      if (held.put(piece, Boolean.TRUE) == null) {
        holders.computeIfAbsent(piece, name -> new ArrayList<>(1)).add(target);
      }
    }
  }

  /** Records that a target no longer holds these pieces. */
  public void remove(String target, Collection<PieceName> pieces) {
    LruPieces held = piecesByTarget.get(target);
    if (held != null) {
      for (PieceName piece : pieces) {
        if (held.remove(piece) != null) {
          removeHolder(piece, target);
        }
      }
    }
  }

  private void removeHolder(PieceName piece, String target) {
    List<String> targets = holders.get(piece);
    if (targets != null) {
      targets.remove(target);
      if (targets.isEmpty()) {
        holders.remove(piece);
      }
    }
  }

  /** Removes all pieces of a target, after a gap in its events or a restart. */
  public void removeTarget(String target) {
    LruPieces held = piecesByTarget.remove(target);
    if (held != null) {
      held.keySet().forEach(piece -> removeHolder(piece, target));
    }
  }

  /**
   * Returns targets that are expected to hold leading pieces, those with the most first. A binary
   * search over the chain finds the candidates, at most {@value #MAX_HOLDERS_PER_PIECE} for each
   * piece that it visits, so the time does not grow with the number of targets. Targets that hold
   * none of the visited pieces are not candidates.
   */
  public List<Holder> holders(List<PieceName> pieces) {
    Set<String> candidates = new LinkedHashSet<>();
    int low = 0;
    int high = pieces.size();
    while (low < high) {
      int middle = (low + high + 1) >>> 1;
      List<String> pieceHolders = holders.get(pieces.get(middle - 1));
      if (pieceHolders == null) {
        high = middle - 1;
      } else {
        low = middle;
        pieceHolders.stream().limit(MAX_HOLDERS_PER_PIECE).forEach(candidates::add);
      }
    }
    return candidates.stream()
        .map(target -> new Holder(target, matchedPieces(target, pieces)))
        .sorted(Comparator.comparingInt(Holder::pieces).reversed())
        .toList();
  }

  /**
   * A target with the number of leading pieces that it is expected to hold.
   *
   * @param target name of the target
   * @param pieces number of leading pieces
   */
  public record Holder(String target, int pieces) {}

  /**
   * Returns the number of leading pieces that a target is expected to hold. The name of a piece
   * also identifies everything before it, so a binary search over the chain suffices.
   */
  public int matchedPieces(String target, List<PieceName> pieces) {
    LruPieces held = piecesByTarget.get(target);
    if (held == null) {
      return 0;
    }
    int low = 0;
    int high = pieces.size();
    while (low < high) {
      int middle = (low + high + 1) >>> 1;
      if (held.containsKey(pieces.get(middle - 1))) {
        low = middle;
      } else {
        high = middle - 1;
      }
    }
    return low;
  }

  /** Returns the number of entries of all targets together. */
  public int size() {
    return piecesByTarget.values().stream().mapToInt(Map::size).sum();
  }

  /** Pieces of one target in order of access. */
  private static final class LruPieces extends LinkedHashMap<PieceName, Boolean> {

    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxPieces;
    private final transient Consumer<PieceName> onEviction;

    LruPieces(int maxPieces, Consumer<PieceName> onEviction) {
      super(INITIAL_CAPACITY, LOAD_FACTOR, true);
      this.maxPieces = maxPieces;
      this.onEviction = onEviction;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<PieceName, Boolean> eldest) {
      boolean isEvicted = size() > maxPieces;
      if (isEvicted) {
        onEviction.accept(eldest.getKey());
      }
      return isEvicted;
    }
  }
}
