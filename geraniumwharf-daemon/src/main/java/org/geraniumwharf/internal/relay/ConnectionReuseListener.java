package org.geraniumwharf.internal.relay;

import java.net.InetSocketAddress;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;

/** Learns of sound connections to targets that are not reused; called on the event loop. */
interface ConnectionReuseListener {

  void notReused(UnreusedConnection connection);

  static ConnectionReuseListener none() {
    return connection -> {};
  }

  /**
   * A sound connection that is not reused.
   *
   * @param requestId the request that is sent over another connection, empty if there is none
   * @param localPort port of the connection on this side
   */
  record UnreusedConnection(
      InetSocketAddress address, String requestId, int localPort, Cause cause) {

    void log(EventLog log, String target) {
      log.info(
          Event.of("target-connection-not-reused")
              .with("target", target)
              .with("address", address.getHostString() + ":" + address.getPort())
              .with("request", requestId)
              .with("targetConnectionPort", localPort)
              .with("cause", cause.wireName));
    }
  }

  /** Why a connection is not reused. */
  enum Cause {
    /** It has carried a request with the same id; the connection stays open for others. */
    SAME_REQUEST("same-request"),
    /** It has carried as many requests as are remembered, and is closed. */
    HISTORY_FULL("history-full");

    private final String wireName;

    Cause(String wireName) {
      this.wireName = wireName;
    }

    String wireName() {
      return wireName;
    }
  }
}
