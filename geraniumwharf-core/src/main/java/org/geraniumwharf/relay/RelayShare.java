package org.geraniumwharf.relay;

/**
 * Most requests that one instance keeps at one target, so that a crest waits in queues that know
 * ranks and deadlines and not in the targets' own.
 */
public final class RelayShare {

  /** Requests of all instances together that a target is given, relative to its slots. */
  private static final int OVERCOMMIT = 2;

  private static final int SMALLEST = 6;
  private static final int DEFAULT_SLOTS = 8;

  private RelayShare() {}

  static int of(RelayWork work, RelayTarget target, int instances) {
    int announced = target.slots() > 0 ? target.slots() : DEFAULT_SLOTS;
    int slots = work.service().engine().map(engine -> engine.slots()).orElse(announced);
    return Math.max(SMALLEST, OVERCOMMIT * slots / Math.max(1, instances));
  }
}
