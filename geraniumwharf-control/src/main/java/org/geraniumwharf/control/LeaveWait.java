package org.geraniumwharf.control;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumwharf.schema.messages.LeaveOutcome;

/**
 * Decides how long a control instance that is told to stop goes on until another one has taken its
 * place as a voter. A group that loses a voter without a successor tolerates one loss less.
 */
public final class LeaveWait {

  /** Time in which a successor that starts slowly may still join the group. */
  private static final Duration LATE_SUCCESSOR = Duration.ofSeconds(3);

  /** Part of the grace time that may pass; the rest is for the end of the process. */
  private static final int GRACE_PERCENT = 75;

  private final Instant deadline;
  private final Optional<LeaveOutcome> last;

  /** First of the unbroken series of answers that there is no successor. */
  private final Optional<Instant> withoutSuccessorSince;

  private LeaveWait(
      Instant deadline, Optional<LeaveOutcome> last, Optional<Instant> withoutSuccessorSince) {
    this.deadline = deadline;
    this.last = last;
    this.withoutSuccessorSince = withoutSuccessorSince;
  }

  /**
   * Starts to wait.
   *
   * @param begun when the instance was told to stop
   * @param grace time from then after which its process is killed
   */
  public static LeaveWait startingAt(Instant begun, Duration grace) {
    Instant deadline = begun.plus(grace.multipliedBy(GRACE_PERCENT).dividedBy(100));
    return new LeaveWait(deadline, Optional.empty(), Optional.empty());
  }

  /**
   * Returns the wait after an answer of the leader. A successor has its time from the first answer
   * that there is none: while there was no leader, it could not join.
   *
   * @param answer empty if no leader answered
   */
  public LeaveWait after(Optional<LeaveOutcome> answer, Instant now) {
    Optional<Instant> since =
        answer
            .filter(outcome -> outcome == LeaveOutcome.NO_SUCCESSOR)
            .map(outcome -> withoutSuccessorSince.orElse(now));
    return new LeaveWait(deadline, answer, since);
  }

  /** Returns whether the instance stops now. */
  public boolean isOver(Instant now) {
    boolean isSuccessorMissing =
        withoutSuccessorSince.isPresent()
            && !now.isBefore(withoutSuccessorSince.get().plus(LATE_SUCCESSOR));
    return last.equals(Optional.of(LeaveOutcome.LEFT))
        || isSuccessorMissing
        || !now.isBefore(deadline);
  }

  /** Returns the last answer of the leader, or empty if none answered. */
  public Optional<LeaveOutcome> last() {
    return last;
  }
}
