package org.geraniumwharf.internal.serving;

import java.util.HexFormat;
import java.util.concurrent.ThreadLocalRandom;

/** Generates ids of requests and attempts and keys of kept objects. */
public final class RequestIds {

  private RequestIds() {}

  public static String newRequestId() {
    return "req-" + randomHex();
  }

  static String newAttemptId() {
    return "att-" + randomHex();
  }

  /** Returns a random key for a kept object, so that no key is reused after a failed export. */
  static String newObjectKey() {
    return "obj-" + randomHex();
  }

  private static String randomHex() {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    HexFormat hex = HexFormat.of();
    return hex.toHexDigits(random.nextLong()) + hex.toHexDigits(random.nextLong());
  }
}
