package org.geraniumwharf.credential;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * Salted SHA-256 of a secret. Secrets are random and at least 128 bits long, so a slow password
 * hash would add no protection.
 *
 * @param salt salt in hexadecimal
 * @param hash hash in hexadecimal
 */
public record SecretHash(String salt, String hash) {

  private static final int SALT_BYTES = 16;
  private static final HexFormat HEX = HexFormat.of();

  public static SecretHash of(String salt, String hash) {
    return new SecretHash(salt, hash);
  }

  /** Parses {@code salt:hash}, the form used in settings files. */
  public static SecretHash parse(String text) {
    int colon = text.indexOf(':');
    return new SecretHash(text.substring(0, colon), text.substring(colon + 1));
  }

  /** Hashes a secret under a new random salt. */
  public static SecretHash create(String secret, SecureRandom random) {
    byte[] salt = new byte[SALT_BYTES];
    random.nextBytes(salt);
    return new SecretHash(HEX.formatHex(salt), HEX.formatHex(digest(salt, secret)));
  }

  /** Returns whether a secret has this hash; the hashes are compared in constant time. */
  public boolean matches(String secret) {
    byte[] actual = digest(HEX.parseHex(salt), secret);
    return MessageDigest.isEqual(HEX.parseHex(hash), actual);
  }

  private static byte[] digest(byte[] salt, String secret) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(salt);
      return digest.digest(secret.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }

  @Override
  public String toString() {
    return salt + ":" + hash;
  }
}
