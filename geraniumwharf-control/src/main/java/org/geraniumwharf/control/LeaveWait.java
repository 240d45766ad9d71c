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

  private final Instant successorDeadline;
  private final Instant deadline;

  private LeaveWait(Instant successorDeadline, Instant deadline) {
    this.successorDeadline = successorDeadline;
    this.deadline = deadline;
  }

  /**
   * Starts to wait.
   *
   * @param begun when the instance was told to stop
   * @param grace time from then after which its process is killed
   */
  public static LeaveWait startingAt(Instant begun, Duration grace) {
    Instant deadline = begun.plus(grace.multipliedBy(GRACE_PERCENT).dividedBy(100));
    Instant successorDeadline = begun.plus(LATE_SUCCESSOR);
    return new LeaveWait(
        successorDeadline.isBefore(deadline) ? successorDeadline : deadline, deadline);
  }

  /**
   * Returns whether the instance stops now.
   *
   * @param last last answer of the leader; empty if none answered
   */
  public boolean isOver(Optional<LeaveOutcome> last, Instant now) {
    if (last.equals(Optional.of(LeaveOutcome.LEFT)) || !now.isBefore(deadline)) {
      return true;
    }
    return last.equals(Optional.of(LeaveOutcome.NO_SUCCESSOR)) && !now.isBefore(successorDeadline);
  }
}
