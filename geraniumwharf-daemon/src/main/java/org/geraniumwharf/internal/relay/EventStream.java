package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Cuts the bytes of an event stream into whole events, so that a caller never gets a part of an
 * event that another target has to repeat.
 */
final class EventStream {

  private static final byte NEWLINE = '\n';
  private static final byte RETURN = '\r';
  private static final String ID_FIELD = "id:";

  private final ByteBuf pending = Unpooled.buffer();

  /**
   * A whole event.
   *
   * @param id its id, if it has one
   * @param bytes its bytes with the blank line that ends it
   */
  record StreamEvent(Optional<String> id, ByteBuf bytes) {}

  /** Takes bytes and returns the events that they complete. */
  List<StreamEvent> feed(ByteBuf bytes) {
    pending.writeBytes(bytes);
    List<StreamEvent> events = new ArrayList<>();
    int end = endOfEvent();
    while (end >= 0) {
      byte[] event = new byte[end - pending.readerIndex()];
      pending.readBytes(event);
      events.add(new StreamEvent(idOf(event), Unpooled.wrappedBuffer(event)));
      end = endOfEvent();
    }
    pending.discardReadBytes();
    return events;
  }

  /** Tells whether an event was begun and not ended. */
  boolean hasPartialEvent() {
    return pending.isReadable();
  }

  /** Returns the index after the blank line that ends the first event, or -1. */
  private int endOfEvent() {
    boolean isLineEmpty = false;
    for (int i = pending.readerIndex(); i < pending.writerIndex(); i++) {
      byte next = pending.getByte(i);
      if (next == NEWLINE) {
        if (isLineEmpty) {
          return i + 1;
        }
        isLineEmpty = true;
      } else if (next != RETURN) {
        isLineEmpty = false;
      }
    }
    return -1;
  }

  private static Optional<String> idOf(byte[] event) {
    for (String line : new String(event, StandardCharsets.UTF_8).split("\n")) {
      if (line.startsWith(ID_FIELD)) {
        return Optional.of(line.substring(ID_FIELD.length()).strip());
      }
    }
    return Optional.empty();
  }
}
