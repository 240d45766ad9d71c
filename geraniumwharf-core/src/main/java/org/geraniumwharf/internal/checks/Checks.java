package org.geraniumwharf.internal.checks;

/** Argument checks whose exceptions name the invalid argument. */
public final class Checks {

  private Checks() {}

  public static int checkPositive(int value, String name) {
    if (value <= 0) {
      throw new IllegalArgumentException(name + " must be positive but is " + value);
    }
    return value;
  }

  public static double checkPositive(double value, String name) {
    if (!(value > 0)) {
      throw new IllegalArgumentException(name + " must be positive but is " + value);
    }
    return value;
  }

  public static int checkNotNegative(int value, String name) {
    if (value < 0) {
      throw new IllegalArgumentException(name + " must not be negative but is " + value);
    }
    return value;
  }
}
