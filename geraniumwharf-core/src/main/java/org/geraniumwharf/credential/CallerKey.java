package org.geraniumwharf.credential;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A caller's key: {@code gw-ID-SECRET}. The identifier finds the hash in constant time whatever the
 * number of organisations.
 *
 * @param id public part
 * @param secret part that only the caller knows
 */
public record CallerKey(String id, String secret) {

  private static final Pattern TOKEN_PATTERN =
      Pattern.compile("gw-([A-Za-z0-9]{4,32})-([A-Za-z0-9]{16,128})");
  private static final int ID_BYTES = 8;
  private static final int SECRET_BYTES = 24;

  public static CallerKey create(SecureRandom random) {
    return new CallerKey(randomHex(random, ID_BYTES), randomHex(random, SECRET_BYTES));
  }

  /** Parses a bearer token; empty when it has another form. */
  public static Optional<CallerKey> parse(String token) {
    Matcher matcher = TOKEN_PATTERN.matcher(token);
    return matcher.matches()
        ? Optional.of(new CallerKey(matcher.group(1), matcher.group(2)))
        : Optional.empty();
  }

  /** Returns the bearer token; it must not be logged. */
  public String token() {
    return "gw-" + id + "-" + secret;
  }

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
