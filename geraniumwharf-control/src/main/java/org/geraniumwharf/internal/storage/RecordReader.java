package org.geraniumwharf.internal.storage;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Reads the records of a file through a small window, so that a large file is never held in memory
 * as a whole. Not thread-safe.
 */
final class RecordReader {

  private static final int WINDOW_BYTES = 64 << 10;

  private final DiskFile file;
  private final long size;
  private final byte[] window = new byte[WINDOW_BYTES];
  private long windowStart;
  private int windowLength;

  private RecordReader(DiskFile file, long size) {
    this.file = file;
    this.size = size;
  }

  /** Reads a file up to its present size. */
  static RecordReader of(DiskFile file) throws IOException {
    return new RecordReader(file, file.size());
  }

  /** Returns the size of the file, in bytes. */
  long size() {
    return size;
  }

  /** Returns the body of the record at an offset; empty if there is no complete, valid record. */
  Optional<byte[]> recordAt(long offset) throws IOException {
    if (size - offset < RecordFormat.HEADER_BYTES) {
      return Optional.empty();
    }
    byte[] header = read(offset, RecordFormat.HEADER_BYTES);
    int length = RecordFormat.bodyLength(header);
    long bodyOffset = offset + RecordFormat.HEADER_BYTES;
    if (length < 0 || length > size - bodyOffset) {
      return Optional.empty();
    }
    byte[] body = read(bodyOffset, length);
    return RecordFormat.isChecksumOf(header, body) ? Optional.of(body) : Optional.empty();
  }

  /** Returns the position of the first valid record after an offset. */
  OptionalLong nextRecordAfter(long offset) throws IOException {
    for (long i = offset + 1; i <= size - RecordFormat.HEADER_BYTES; i++) {
      if (byteAt(i) == RecordFormat.FIRST_BYTE && recordAt(i).isPresent()) {
        return OptionalLong.of(i);
      }
    }
    return OptionalLong.empty();
  }

  private byte byteAt(long position) throws IOException {
    moveWindowTo(position);
    return window[(int) (position - windowStart)];
  }

  private byte[] read(long position, int length) throws IOException {
    byte[] bytes = new byte[length];
    int copied = 0;
    while (copied < length) {
      moveWindowTo(position + copied);
      int from = (int) (position + copied - windowStart);
      int count = Math.min(length - copied, windowLength - from);
      System.arraycopy(window, from, bytes, copied, count);
      copied += count;
    }
    return bytes;
  }

  /** Moves the window so that it starts at a position, unless it holds that position already. */
  private void moveWindowTo(long position) throws IOException {
    if (position >= windowStart && position < windowStart + windowLength) {
      return;
    }
    ByteBuffer buffer = ByteBuffer.wrap(window);
    windowStart = position;
    windowLength = 0;
    while (buffer.hasRemaining() && position + windowLength < size) {
      int count = file.read(buffer, position + windowLength);
      if (count < 0) {
        throw new EOFException("the file became shorter while it was read");
      }
      windowLength += count;
    }
  }
}
