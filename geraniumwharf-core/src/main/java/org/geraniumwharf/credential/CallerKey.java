package org.geraniumwharf.credential;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * API key of a caller, {@code gw-ID-SECRET}. The hash of the secret is looked up by the id, so the
 * lookup time does not depend on the number of organisations.
 *
 * @param id public part, 4 to 32 letters and digits
 * @param secret secret part, 16 to 128 letters and digits
 */
public record CallerKey(String id, String secret) {

  private static final Pattern TOKEN_PATTERN =
      Pattern.compile("gw-([A-Za-z0-9]{4,32})-([A-Za-z0-9]{16,128})");
  private static final int ID_BYTES = 8;
  private static final int SECRET_BYTES = 24;

  /** Creates a key with a random id and secret. */
  public static CallerKey create(SecureRandom random) {
    return new CallerKey(randomHex(random, ID_BYTES), randomHex(random, SECRET_BYTES));
  }

  /** Parses a bearer token; empty if it does not have the form of a key. */
  public static Optional<CallerKey> parse(String token) {
    Matcher matcher = TOKEN_PATTERN.matcher(token);
    return matcher.matches()
        ? Optional.of(new CallerKey(matcher.group(1), matcher.group(2)))
        : Optional.empty();
  }

  /** Returns the bearer token, which must not be logged. */
  public String token() {
    return "gw-" + id + "-" + secret;
  }

  /** Returns the key without its secret. */
  @Override
  public String toString() {
    return "gw-" + id + "-(secret)";
  }

  private static String randomHex(SecureRandom random, int bytes) {
    byte[] value = new byte[bytes];
    random.nextBytes(value);
    return HexFormat.of().formatHex(value);
  }
}
