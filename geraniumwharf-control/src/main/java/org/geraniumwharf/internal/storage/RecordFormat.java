package org.geraniumwharf.internal.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Layout of one record: magic number (4 bytes), length of the body (4), CRC-32C of length and body
 * (4), body. Because of the magic number a reader finds valid records after a damaged one, which
 * distinguishes a damaged file from an incomplete last append.
 */
final class RecordFormat {

  static final int HEADER_BYTES = 12;

  /** First byte of the magic number, and so of each record. */
  static final byte FIRST_BYTE = 0x47;

  private static final int MAGIC = 0x47575243;
  private static final int MAX_BODY_BYTES = 64 << 20;

  private RecordFormat() {}

  static ByteBuffer encode(byte[] body) {
    ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + body.length);
    buffer.putInt(MAGIC).putInt(body.length).putInt(checksum(body)).put(body);
    return buffer.flip();
  }

  /**
   * Writes one record at a position of a file.
   *
   * @return bytes written
   */
  static long write(DiskFile file, long position, byte[] body) throws IOException {
    ByteBuffer record = encode(body);
    long written = 0;
    while (record.hasRemaining()) {
      written += file.write(record, position + written);
    }
    return written;
  }

  /** Returns the length of the body that a header announces, or -1 if it is no valid header. */
  static int bodyLength(byte[] header) {
    ByteBuffer buffer = ByteBuffer.wrap(header);
    if (buffer.getInt() != MAGIC) {
      return -1;
    }
    int length = buffer.getInt();
    return length <= MAX_BODY_BYTES ? length : -1;
  }

  /** Returns whether a header has the checksum of a body. */
  static boolean isChecksumOf(byte[] header, byte[] body) {
    return ByteBuffer.wrap(header).getInt(2 * Integer.BYTES) == checksum(body);
  }

  private static int checksum(byte[] body) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(body.length).flip());
    crc.update(body);
    return (int) crc.getValue();
  }
}
