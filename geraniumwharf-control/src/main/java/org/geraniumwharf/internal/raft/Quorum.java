package org.geraniumwharf.internal.raft;

/** Sizes of quorums. */
final class Quorum {

  private Quorum() {}

  static int majorityOf(int count) {
    return count / 2 + 1;
  }

  /** Returns the least number of voters of which every majority contains one. */
  static int intersectingMajority(int count) {
    return count - majorityOf(count) + 1;
  }
}
