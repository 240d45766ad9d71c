package org.geraniumwharf.prefix;

import java.nio.ByteBuffer;
import java.util.HexFormat;

/**
 * Name of one full piece of a context, which also identifies everything before the piece: the first
 * 128 bits of its SHA-256 in a hash chain.
 */
public record PieceName(long high, long low) {

  private static final int BYTES = 16;

  static PieceName of(byte[] digest) {
    ByteBuffer buffer = ByteBuffer.wrap(digest);
    return new PieceName(buffer.getLong(), buffer.getLong());
  }

  void writeTo(byte[] target) {
    ByteBuffer.wrap(target).putLong(high).putLong(low);
  }

  /** Returns the name as 32 hexadecimal digits. */
  public String wireName() {
    byte[] bytes = new byte[BYTES];
    writeTo(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  /**
   * Parses a name in the form of {@link #wireName}.
   *
   * @throws IllegalArgumentException if the text is not hexadecimal
   */
  public static PieceName parse(String wireName) {
    return of(HexFormat.of().parseHex(wireName));
  }
}
