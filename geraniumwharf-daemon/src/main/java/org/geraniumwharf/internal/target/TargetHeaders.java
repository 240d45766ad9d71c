package org.geraniumwharf.internal.target;

/** HTTP headers of the protocol between daemons and targets. */
public final class TargetHeaders {

  /** Id of the attempt; every answer carries it back. */
  public static final String ATTEMPT = "Geraniumwharf-Attempt";

  /** Load report of the answering target, as JSON. */
  public static final String LOAD = "Geraniumwharf-Load";

  /**
   * With the value {@link #NOT_RUN} and the request's attempt in {@link #ATTEMPT}, a refusal of
   * work that was certainly not begun.
   */
  public static final String RUN = "Geraniumwharf-Run";

  /** Value of {@link #RUN}. */
  public static final String NOT_RUN = "not-run";

  /** Name of the organisation, for plain services. */
  public static final String ORGANISATION = "Geraniumwharf-Organisation";

  private TargetHeaders() {}
}
