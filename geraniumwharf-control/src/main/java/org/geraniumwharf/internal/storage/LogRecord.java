package org.geraniumwharf.internal.storage;

import java.io.IOException;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.state.HardState;
import org.geraniumwharf.schema.state.LogEntry;

/** Encodes the records of the log file. The first byte marks a hard state or an entry. */
final class LogRecord {

  private static final byte HARD_STATE = 1;
  private static final byte ENTRY = 2;

  private LogRecord() {}

  static byte[] encode(HardState state) {
    return addTag(HARD_STATE, Codec.messagePack().encode(state));
  }

  static byte[] encode(LogEntry entry) {
    return addTag(ENTRY, Codec.messagePack().encode(entry));
  }

  static boolean isHardState(byte[] record) {
    return record.length > 0 && record[0] == HARD_STATE;
  }

  static HardState decodeHardState(byte[] record) throws IOException {
    return Codec.messagePack().decode(removeTag(record), HardState.class);
  }

  static LogEntry decodeEntry(byte[] record) throws IOException {
    return Codec.messagePack().decode(removeTag(record), LogEntry.class);
  }

  private static byte[] addTag(byte tag, byte[] body) {
    byte[] record = new byte[body.length + 1];
    record[0] = tag;
    System.arraycopy(body, 0, record, 1, body.length);
    return record;
  }

  private static byte[] removeTag(byte[] record) {
    byte[] body = new byte[record.length - 1];
    System.arraycopy(record, 1, body, 0, body.length);
    return body;
  }
}
