package org.geraniumwharf.retry;

import org.geraniumwharf.internal.checks.Checks;

/**
 * Bounds retries to a share of the first attempts, so that a failing fleet gets little more load
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
   * @param share retries allowed for each first attempt
   * @param reserve most retries that can be saved up
   */
  public static RetryBudget of(double share, double reserve) {
    return new RetryBudget(
        Checks.checkPositive(share, "share"), Checks.checkPositive(reserve, "reserve"));
  }

  /**
   * Changes how many retries can be saved up, as when the number of instances that share a budget
   * changes. What was saved beyond that is lost; a larger reserve fills as first attempts come.
   */
  public synchronized void setReserve(double newReserve) {
    reserve = Checks.checkPositive(newReserve, "reserve");
    balance = Math.min(balance, reserve);
  }

  /** Counts a first attempt. */
  public synchronized void deposit() {
    balance = Math.min(reserve, balance + share);
  }

  /** Takes one retry; false when the budget is spent. */
  public synchronized boolean tryWithdraw() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
