package org.geraniumwharf.relay;

/** One term of the estimated time to the first token, in ms. Implementations are pure. */
public interface EstimateTerm {

  /** Returns the name of the term, as it appears in explanations of decisions. */
  String name();

  /** Returns the value of the term for a request at a target, ms. */
  double millis(PlacementQuery query, RelayTarget target, RelayLoadTable.Load load);

  /**
   * Returns whether the term is work that the request itself adds to its target, which later
   * requests wait for.
   */
  default boolean isOwnWork() {
    return false;
  }
}
