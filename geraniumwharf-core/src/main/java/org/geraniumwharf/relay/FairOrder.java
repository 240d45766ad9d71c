package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;

/**
 * Order by the value of a response at its expected time and by fair shares; docs/design/queue.md
 * states the rules. Valid for the requests that wait when it is created.
 */
final class FairOrder implements QueueOrder {

  private static final int MAX_PRIORITY = 10_000;
  private static final int SUB_PRIORITIES = 100;

  /** Priority of requests of starved kinds, before all others. */
  private static final int STARVED_PRIORITY = -1;

  /** Weights of the criteria in a rank. Each criterion is below the weight of the one before. */
  private static final double PRIORITY_WEIGHT = 1e9;

  private static final double LATE_WEIGHT = 1e8;
  private static final double SHARE_WEIGHT = 1e6;
  private static final double SLACK_CLASS_WEIGHT = 1e4;
  private static final double MAX_LAST = 9999;

  /** Largest slack of the first class; that of each further class is twice as long, ms. */
  private static final double FIRST_CLASS_MILLIS = 25;

  private static final int SLACK_CLASSES = 12;
  private static final int MAX_SHARE_CLASS = 6;

  /** Requests of mean work that may be ahead of the slack before capacity counts as short. */
  private static final double SPARE_REQUESTS = 2;

  /** Position of a request of mean work among those of its class, and that of twice the work. */
  private static final double MEAN_WORK_POSITION = 5000;

  private static final double DOUBLE_WORK_STEP = 1000;

  /**
   * Steps by which a request moves up for each ms in the queue: 250 ms make up for twice the work.
   */
  private static final double STEPS_PER_MILLI = 4;

  private final FairRules rules;
  private final Collection<? extends QueuedRequest> waiting;

  FairOrder(FairRules rules, Collection<? extends QueuedRequest> waiting) {
    this.rules = rules;
    this.waiting = waiting;
  }

  @Override
  public Comparator<QueuedRequest> at(Instant now) {
    boolean isShort = isCapacityShort(now);
    boolean isLateFirst = rules.isLateDue();
    return (one, other) -> {
      int byRank =
          Double.compare(
              rank(one, isShort, isLateFirst, now), rank(other, isShort, isLateFirst, now));
      return byRank != 0 ? byRank : Long.compare(one.sequence(), other.sequence());
    };
  }

  /** Returns whether the work with at most a certain slack does not fit into this slack. */
  boolean isCapacityShort(Instant now) {
    if (waiting.isEmpty()) {
      return false;
    }
    double[] work = new double[SLACK_CLASSES];
    for (QueuedRequest request : waiting) {
      double slack = rules.slackMillis(request.profile(), now);
      if (slack >= 0) {
        work[slackClass(slack)] += request.profile().work();
      }
    }
    double spare = SPARE_REQUESTS * rules.requestMillis(now);
    double sum = 0;
    double bound = FIRST_CLASS_MILLIS;
    for (double ofClass : work) {
      sum += ofClass;
      if (rules.workMillis(sum, true, now) > bound + spare) {
        return true;
      }
      bound *= 2;
    }
    return false;
  }

  private double rank(QueuedRequest request, boolean isShort, boolean isLateFirst, Instant now) {
    RequestProfile profile = request.profile();
    double slack = rules.slackMillis(profile, now);
    boolean isLate = slack < 0;
    double first = priority(profile) * PRIORITY_WEIGHT + (isLate != isLateFirst ? LATE_WEIGHT : 0);
    if (!isShort && !isLate) {
      return first + Math.min(slack, LATE_WEIGHT / 2);
    }
    int slackClass = isLate ? 0 : slackClass(slack);
    return first
        + shareClass(profile) * SHARE_WEIGHT
        + slackClass * SLACK_CLASS_WEIGHT
        + position(request, now);
  }

  private int priority(RequestProfile profile) {
    return rules.isStarved(profile)
        ? STARVED_PRIORITY
        : SUB_PRIORITIES * bounded(profile.priority(), MAX_PRIORITY)
            + bounded(profile.subPriority(), SUB_PRIORITIES - 1);
  }

  private static int bounded(int value, int max) {
    return Math.max(0, Math.min(max, value));
  }

  private static int slackClass(double slack) {
    double classes = Math.ceil(log2(slack / FIRST_CLASS_MILLIS));
    return (int) Math.max(0, Math.min(SLACK_CLASSES - 1, classes));
  }

  /** Returns 0 for an organisation within its share, and one more for each factor of two. */
  private int shareClass(RequestProfile profile) {
    double classes = Math.ceil(log2(rules.relativeShare(profile)));
    return (int) Math.max(0, Math.min(MAX_SHARE_CLASS, classes));
  }

  private double position(QueuedRequest request, Instant now) {
    double size = DOUBLE_WORK_STEP * log2(request.profile().work() / rules.meanWork());
    double age = STEPS_PER_MILLI * Elapsed.atLeastZeroMillis(request.queuedAt(), now);
    return Math.max(0, Math.min(MAX_LAST, MEAN_WORK_POSITION + size - age));
  }

  private static double log2(double value) {
    return Math.log(value) / Math.log(2);
  }
}
