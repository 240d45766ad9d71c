package org.geraniumwharf.internal.relay;

import java.net.InetSocketAddress;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;

/** Learns of bytes of a target that belong to no response; called on the event loop. */
interface UnexpectedBytesListener {

  /** Records bytes after which a connection is not reused. */
  void received(UnexpectedBytes bytes);

  static UnexpectedBytesListener none() {
    return bytes -> {};
  }

  /**
   * Bytes that belong to no response.
   *
   * @param requestId the last request that was sent on the connection, empty if it has none
   * @param count bytes that were found, which may be fewer than were sent
   */
  record UnexpectedBytes(InetSocketAddress address, String requestId, int count, Cause cause) {

    void log(EventLog log, String target) {
      log.info(
          Event.of("target-unexpected-bytes")
              .with("target", target)
              .with("address", address.getHostString() + ":" + address.getPort())
              .with("request", requestId)
              .with("bytes", count)
              .with("cause", cause.wireName));
    }
  }

  /** Where the bytes were found. */
  enum Cause {
    BEHIND_RESPONSE("behind-response"),
    IDLE("idle"),
    BEFORE_REQUEST("before-request"),
    JOINED_HEAD("joined-head"),
    OTHER_RESPONSE("other-response");

    private final String wireName;

    Cause(String wireName) {
      this.wireName = wireName;
    }

    String wireName() {
      return wireName;
    }
  }
}
