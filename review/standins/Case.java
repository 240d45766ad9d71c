package review;

import java.nio.file.Path;

/**
 * Runs one case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
 * run. With {@code TROUBLE=0} in the environment the case leaves out its disruption.
 */
interface Case {

  int HELD = 0;
  int BROKEN = 1;
  int NOT_RUN = 2;

  /** Thrown if the case cannot run, for a reason other than the rule that it checks. */
  final class NotRunException extends Exception {

    private static final long serialVersionUID = 1L;

    NotRunException(String reason) {
      super(reason);
    }
  }

  /** Returns whether the rule was broken. */
  boolean isBroken(Record record, boolean hasTrouble) throws Exception;

  /** Runs a case in its folder, the first argument, and ends the process. */
  static void run(String[] args, Case checked) {
    Record record = Record.open(Path.of(args[0]));
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    int status;
    try {
      boolean isBroken = checked.isBroken(record, hasTrouble);
      record.add(isBroken ? "RULE BROKEN" : "rule held");
      status = isBroken ? BROKEN : HELD;
    } catch (Exception e) {
      record.add("not run: " + e);
      status = NOT_RUN;
    }
    System.exit(status);
  }
}
