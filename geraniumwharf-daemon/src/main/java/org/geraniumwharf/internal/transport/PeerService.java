package org.geraniumwharf.internal.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.geraniumwharf.control.ControlInstance;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.NotLeader;
import org.geraniumwharf.schema.messages.PeerMessage;
import org.geraniumwharf.schema.messages.RaftMessage;
import org.geraniumwharf.schema.messages.WatchCall;

/** The accepting side: hands what arrives to the local control instance, if there is one. */
public final class PeerService implements PeerConnection.Handler {

  private final EventLog log;
  private volatile Optional<ControlInstance> control = Optional.empty();

  private PeerService(EventLog log) {
    this.log = log;
  }

  /**
   * Starts to serve. Until a control instance is set, calls are answered as not the leader and
   * watches end at once, so that the watcher moves on.
   */
  public static PeerService start(PeerNetwork network, InetSocketAddress address, EventLog log)
      throws IOException {
    PeerService service = new PeerService(log);
    network.listen(address, service);
    return service;
  }

  public void control(ControlInstance instance) {
    control = Optional.of(instance);
  }

  @Override
  public void received(PeerConnection connection, long correlation, PeerMessage message) {
    if (control.isEmpty()) {
      refuse(connection, correlation, message);
      return;
    }
    if (message instanceof RaftMessage raft) {
      receiveRaft(connection, raft);
    } else if (message instanceof WatchCall watch) {
      control.get().watch(watch.afterIndex(), view -> connection.send((PeerMessage) view));
    } else if (correlation > 0) {
      var unused =
          control.get().call(message).thenAccept(answer -> connection.answer(correlation, answer));
    }
  }

  private static void refuse(PeerConnection connection, long correlation, PeerMessage message) {
    if (correlation > 0) {
      connection.answer(correlation, NotLeader.of(Optional.empty()));
    } else if (message instanceof WatchCall) {
      connection.close();
    }
  }

  private void receiveRaft(PeerConnection connection, RaftMessage message) {
    if (message.from().equals(connection.remote())) {
      control.orElseThrow().receive(message);
    } else {
      log.warn(
          Event.of("peer-message-refused")
              .with("peer", connection.remote())
              .with("claimed", message.from()));
      connection.close();
    }
  }

  @Override
  public void closed(PeerConnection connection) {}
}
