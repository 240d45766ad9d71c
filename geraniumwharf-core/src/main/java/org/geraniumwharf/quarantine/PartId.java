package org.geraniumwharf.quarantine;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** The ids by which prompt parts are told apart here, whose length is bounded. */
public final class PartId {

  private static final int MAX_CHARACTERS = 64;

  private PartId() {}

  /** Returns the id of a part, or a digest of it in place of one that is longer. */
  public static String of(String id) {
    if (id.length() <= MAX_CHARACTERS) {
      return id;
    }
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(id.getBytes(UTF_8));
      return "sha-256-" + HexFormat.of().formatHex(digest, 0, 24);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
