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
 * Pieces that each target is expected to hold. A hint only: a wrong entry costs time and never
 * changes an answer. Memory is bounded by the number of pieces kept for each target, least recently
 * used first out. Not safe for use by several threads.
 */
public final class PrefixIndex {

  private static final int MAX_HOLDERS_PER_PIECE = 8;

  private final int piecesPerTarget;
  private final Map<String, LruPieces> piecesByTarget = new HashMap<>();
  private final Map<PieceName, List<String>> holders = new HashMap<>();

  private PrefixIndex(int piecesPerTarget) {
    this.piecesPerTarget = piecesPerTarget;
  }

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
    List<String> known = holders.get(piece);
    if (known != null) {
      known.remove(target);
      if (known.isEmpty()) {
        holders.remove(piece);
      }
    }
  }

  /** Forgets a target, after a gap in its events or a restart. */
  public void removeTarget(String target) {
    LruPieces held = piecesByTarget.remove(target);
    if (held != null) {
      held.keySet().forEach(piece -> removeHolder(piece, target));
    }
  }

  /**
   * Returns targets that are expected to hold leading pieces, those with most first. Only targets
   * that hold one of the pieces at which the binary search over the chain looks are found, so the
   * time does not grow with the number of targets.
   */
  public List<Holder> holders(List<PieceName> pieces) {
    Set<String> found = new LinkedHashSet<>();
    int low = 0;
    int high = pieces.size();
    while (low < high) {
      int middle = (low + high + 1) >>> 1;
      List<String> here = holders.get(pieces.get(middle - 1));
      if (here == null) {
        high = middle - 1;
      } else {
        low = middle;
        here.stream().limit(MAX_HOLDERS_PER_PIECE).forEach(found::add);
      }
    }
    return found.stream()
        .map(target -> new Holder(target, matchedPieces(target, pieces)))
        .sorted(Comparator.comparingInt(Holder::pieces).reversed())
        .toList();
  }

  /**
   * A target that is expected to hold so many leading pieces.
   *
   * @param target name of the target
   * @param pieces leading pieces that it holds
   */
  public record Holder(String target, int pieces) {}

  /**
   * Returns how many leading pieces a target is expected to hold. A chain name covers all that
   * comes before it, so a binary search over the chain suffices.
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

  /** Returns the number of entries over all targets. */
  public int size() {
    return piecesByTarget.values().stream().mapToInt(Map::size).sum();
  }

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
