package org.geraniumwharf.retry;

import org.geraniumwharf.internal.checks.Checks;

/**
 * Limits retries to a share of the first attempts, so that a failing fleet gets little more load
 * than a healthy one. Safe for use by several threads.
 */
public final class RetryBudget {

  private final double share;
  private double reserve;
  private double balance;

  private RetryBudget(double share, double reserve) {
    this.share = share;
    this.reserve = reserve;
    this.balance = reserve;
  }

  /**
   * Creates a full budget.
   *
   * @param share retries that each first attempt adds to the budget
   * @param reserve upper bound of the retries in the budget
   */
  public static RetryBudget of(double share, double reserve) {
    return new RetryBudget(
        Checks.checkPositive(share, "share"), Checks.checkPositive(reserve, "reserve"));
  }

  /**
   * Changes the upper bound of the retries in the budget, for instance when the number of instances
   * that share a budget changes. A balance above the new reserve is cut to it; a larger reserve
   * fills with further first attempts.
   */
  public synchronized void setReserve(double newReserve) {
    reserve = Checks.checkPositive(newReserve, "reserve");
    balance = Math.min(balance, reserve);
  }

  /** Counts a first attempt. */
  public synchronized void deposit() {
    balance = Math.min(reserve, balance + share);
  }

  /** Takes one retry from the budget; returns false when less than one is left. */
  public synchronized boolean tryWithdraw() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
