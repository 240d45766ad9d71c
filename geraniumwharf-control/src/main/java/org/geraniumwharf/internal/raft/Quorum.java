package org.geraniumwharf.internal.raft;

/** Sizes of quorums. */
final class Quorum {

  private Quorum() {}

  static int majorityOf(int count) {
    return count / 2 + 1;
  }
}
