package org.geraniumwharf.internal.relay;

import java.util.HashSet;
import java.util.Set;

/**
 * The ids of the requests that a connection has carried. Ids are kept as hashes, since callers
 * choose their length; two ids with one hash are taken for the same. Not safe for use by several
 * threads.
 */
final class RequestIdHistory {

  /** Number of requests after which a connection carries no more. */
  static final int CAPACITY = 500;

  private final Set<Integer> hashes = new HashSet<>();
  private int requests;

  private RequestIdHistory() {}

  static RequestIdHistory create() {
    return new RequestIdHistory();
  }

  void add(String id) {
    requests++;
    hashes.add(id.hashCode());
  }

  /** Returns whether an id was added; may also return true for another one. */
  boolean mayContain(String id) {
    return hashes.contains(id.hashCode());
  }

  boolean isFull() {
    return requests >= CAPACITY;
  }
}
