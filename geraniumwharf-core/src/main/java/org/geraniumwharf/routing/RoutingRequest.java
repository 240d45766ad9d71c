package org.geraniumwharf.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumwharf.keptcache.KeptPrefix;
import org.geraniumwharf.prefix.PieceName;

/**
 * What a routing decision needs to know of a request.
 *
 * @param affinity text that spreads requests without named pieces, such as the request id
 * @param pieces names of the full pieces of the context
 * @param pieceTokens tokens in one piece
 * @param contextTokens estimated tokens of the whole context
 * @param excluded targets that were tried already
 * @param keptPrefix leading pieces that a store holds, if it was asked and has any
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

  /** Returns a copy that may import what a store holds. */
  public RoutingRequest withKeptPrefix(Optional<KeptPrefix> found) {
    return new RoutingRequest(affinity, pieces, pieceTokens, contextTokens, excluded, found);
  }

  /** Returns the tokens that must be computed when so many leading pieces are held. */
  public int missingTokens(int heldPieces) {
    return Math.max(1, contextTokens - heldPieces * pieceTokens);
  }
}
