package org.geraniumwharf.internal.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;

/**
 * Encodes the records of the log file: a tag (1 byte), the number of bytes of the file that were
 * synced before the record was written (8), and a hard state, an entry or nothing. So each record
 * tells which damage before it can't come from an append that was under way.
 *
 * <p>Records of former versions have tags of their own and no number.
 */
final class LogRecord {

  private static final byte FORMER_HARD_STATE = 1;
  private static final byte FORMER_ENTRY = 2;
  private static final byte HARD_STATE = 3;
  private static final byte ENTRY = 4;
  private static final byte SYNCED = 5;
  private static final int TAG_BYTES = 1;

  /** Size of a record of {@link #encodeSynced} in a file; each other record is larger. */
  static final int SYNCED_FILE_BYTES = RecordFormat.HEADER_BYTES + TAG_BYTES + Long.BYTES;

  private LogRecord() {}

  static byte[] encode(HardState state, long syncedBytes) {
    return encode(HARD_STATE, syncedBytes, Codec.messagePack().encode(state));
  }

  static byte[] encode(LogEntry entry, long syncedBytes) {
    return encode(ENTRY, syncedBytes, Codec.messagePack().encode(entry));
  }

  /** Encodes a record that only tells how much of the file is synced. */
  static byte[] encodeSynced(long syncedBytes) {
    return encode(SYNCED, syncedBytes, new byte[0]);
  }

  private static byte[] encode(byte tag, long syncedBytes, byte[] body) {
    return ByteBuffer.allocate(TAG_BYTES + Long.BYTES + body.length)
        .put(tag)
        .putLong(syncedBytes)
        .put(body)
        .array();
  }

  static boolean isHardState(byte[] record) {
    return hasTag(record, HARD_STATE) || hasTag(record, FORMER_HARD_STATE);
  }

  static boolean isSynced(byte[] record) {
    return hasTag(record, SYNCED);
  }

  /**
   * Returns how many bytes of the file were synced before a record was written; all before the
   * record if it does not tell, as one of a former version.
   *
   * @param offset position of the record in the file
   */
  static long syncedBytes(byte[] record, long offset) {
    boolean isTold = hasTag(record, HARD_STATE) || hasTag(record, ENTRY) || isSynced(record);
    return isTold && record.length >= TAG_BYTES + Long.BYTES
        ? ByteBuffer.wrap(record).getLong(TAG_BYTES)
        : offset;
  }

  static HardState decodeHardState(byte[] record) throws IOException {
    return Codec.messagePack().decode(body(record), HardState.class);
  }

  static LogEntry decodeEntry(byte[] record) throws IOException {
    return Codec.messagePack().decode(body(record), LogEntry.class);
  }

  private static byte[] body(byte[] record) {
    boolean isFormer = hasTag(record, FORMER_HARD_STATE) || hasTag(record, FORMER_ENTRY);
    int from = isFormer ? TAG_BYTES : Math.min(TAG_BYTES + Long.BYTES, record.length);
    return Arrays.copyOfRange(record, from, record.length);
  }

  private static boolean hasTag(byte[] record, byte tag) {
    return record.length > 0 && record[0] == tag;
  }
}
