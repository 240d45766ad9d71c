package org.geraniumwharf.internal.cli;

/** A command that cannot go on, with the exit status that tells why. */
public final class CliException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ExitStatus status;

  private CliException(ExitStatus status, String message) {
    super(message);
    this.status = status;
  }

  static CliException of(ExitStatus status, String message) {
    return new CliException(status, message);
  }

  public ExitStatus status() {
    return status;
  }
}
