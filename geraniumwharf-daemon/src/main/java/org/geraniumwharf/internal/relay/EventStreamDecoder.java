package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Splits the bytes of an event stream into complete events. Only complete events are forwarded, so
 * that a stream can be resumed at another target without repeating a part of an event. Not
 * thread-safe.
 */
final class EventStreamDecoder {

  private static final byte NEWLINE = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final byte[] ID_FIELD = {'i', 'd', ':'};

  private static final int MIN_CAPACITY = 256;

  /** An array, since the bytes are scanned one by one. */
  private byte[] buffer = {};

  private int start;
  private int end;
  private int scannedEnd;
  private boolean isLineEmpty;

  /**
   * A complete event.
   *
   * @param id value of the id field, if present
   * @param bytes bytes of the event, including the blank line that ends it
   */
  record StreamEvent(Optional<String> id, ByteBuf bytes) {}

  /** Appends bytes and returns the events that are now complete. */
  List<StreamEvent> decode(ByteBuf bytes) {
    append(bytes);
    List<StreamEvent> events = new ArrayList<>(1);
    int eventEnd = findEventEnd();
    while (eventEnd >= 0) {
      byte[] event = Arrays.copyOfRange(buffer, start, eventEnd);
      start = eventEnd;
      events.add(new StreamEvent(parseId(event), Unpooled.wrappedBuffer(event)));
      eventEnd = findEventEnd();
    }
    return events;
  }

  private void append(ByteBuf bytes) {
    if (start > 0) {
      System.arraycopy(buffer, start, buffer, 0, end - start);
      end -= start;
      scannedEnd -= start;
      start = 0;
    }
    int count = bytes.readableBytes();
    if (end + count > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(MIN_CAPACITY, Math.max(end + count, 2 * end)));
    }
    bytes.readBytes(buffer, end, count);
    end += count;
  }

  /** Returns the size of the incomplete event that is buffered; 0 if there is none. */
  int partialEventBytes() {
    return end - start;
  }

  /**
   * Returns the index after the blank line that ends the first event, or -1 if there is none. Each
   * byte is scanned once.
   */
  private int findEventEnd() {
    for (int i = scannedEnd; i < end; i++) {
      byte next = buffer[i];
      if (next == NEWLINE && isLineEmpty) {
        scannedEnd = i + 1;
        isLineEmpty = false;
        return scannedEnd;
      }
      isLineEmpty = next == NEWLINE || (next == CARRIAGE_RETURN && isLineEmpty);
    }
    scannedEnd = end;
    return -1;
  }

  /**
   * Returns the value of the id field. Only this line is decoded to a string, since a stream can
   * carry hundreds of events a second.
   */
  private static Optional<String> parseId(byte[] event) {
    int start = 0;
    while (start < event.length) {
      int end = start;
      while (end < event.length && event[end] != NEWLINE) {
        end++;
      }
      if (startsWithId(event, start, end)) {
        int value = start + ID_FIELD.length;
        return Optional.of(new String(event, value, end - value, StandardCharsets.UTF_8).strip());
      }
      start = end + 1;
    }
    return Optional.empty();
  }

  private static boolean startsWithId(byte[] event, int start, int end) {
    return end - start >= ID_FIELD.length
        && Arrays.equals(event, start, start + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length);
  }
}
