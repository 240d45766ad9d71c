package org.geraniumwharf.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.keptcache.KeptPrefix;
import org.geraniumwharf.prefix.PieceName;

/**
 * The properties of a request that a routing decision depends on.
 *
 * @param affinity text that spreads requests without named pieces, such as the request id
 * @param pieces names of the full pieces of the context
 * @param pieceTokens tokens in one piece
 * @param contextTokens estimated tokens of the whole context
 * @param excluded names of the targets that were tried already
 * @param keptPrefix stored prefix of the context; empty when no store was queried or none holds any
 */
public record RoutingRequest(
    String affinity,
    List<PieceName> pieces,
    int pieceTokens,
    int contextTokens,
    Set<String> excluded,
    Optional<KeptPrefix> keptPrefix) {

  public RoutingRequest {
    pieces = List.copyOf(pieces);
    excluded = Set.copyOf(excluded);
  }

  public static RoutingRequest of(
      String affinity,
      List<PieceName> pieces,
      int pieceTokens,
      int contextTokens,
      Set<String> excluded) {
    return new RoutingRequest(
        affinity, pieces, pieceTokens, contextTokens, excluded, Optional.empty());
  }

  /** Returns a copy with the prefix that a store holds, which the chosen target may import. */
  public RoutingRequest withKeptPrefix(Optional<KeptPrefix> found) {
    return new RoutingRequest(affinity, pieces, pieceTokens, contextTokens, excluded, found);
  }

  /**
   * Returns the context tokens left to compute when {@code heldPieces} leading pieces are cached;
   * at least 1.
   */
  public int missingTokens(int heldPieces) {
    return Math.max(1, contextTokens - heldPieces * pieceTokens);
  }
}
