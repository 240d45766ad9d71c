package org.geraniumwharf.internal.http;

import io.javalin.http.Context;

/** The page that a balancer asks: status 200 while the daemon takes requests, 503 otherwise. */
public final class ReadinessPage {

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private ReadinessPage() {}

  public static void answer(Context context, boolean isReady) {
    context.status(isReady ? OK : UNAVAILABLE);
    context.result(isReady ? "ready\n" : "not ready\n");
  }
}
