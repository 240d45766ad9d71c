package org.geraniumwharf.internal.fleet;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses {@code ip:port} with an IPv4 address. Never looks up a name, so that an event loop may
 * call it.
 */
public final class NumericAddress {

  private static final Pattern SYNTAX =
      Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");
  private static final int HOST_BYTES = 4;
  private static final int MAX_BYTE = 255;
  private static final int MAX_PORT = 65_535;

  private NumericAddress() {}

  /** Returns the address; empty if the text is no address that can be connected to. */
  public static Optional<InetSocketAddress> parse(String text) {
    Matcher matcher = SYNTAX.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    byte[] host = new byte[HOST_BYTES];
    for (int i = 0; i < HOST_BYTES; i++) {
      int number = Integer.parseInt(matcher.group(i + 1));
      if (number > MAX_BYTE) {
        return Optional.empty();
      }
      host[i] = (byte) number;
    }
    int port = Integer.parseInt(matcher.group(HOST_BYTES + 1));
    if (port < 1 || port > MAX_PORT) {
      return Optional.empty();
    }
    try {
      return Optional.of(new InetSocketAddress(InetAddress.getByAddress(host), port));
    } catch (UnknownHostException e) {
      throw new AssertionError("four bytes are an address", e);
    }
  }
}
