package org.geraniumwharf.internal.transport;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.CallFailed;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.WatchCall;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerServiceTest {

  private static final ControlAnswer END = CallFailed.of("", "end of stream", false);

  private final PeerNetwork server = network("control-1");
  private final PeerNetwork entry = network("entry-1");
  private final BlockingQueue<ControlAnswer> stream = new LinkedBlockingQueue<>();

  @AfterEach
  void close() {
    entry.close();
    server.close();
  }

  @Test
  void should_end_a_watch_that_comes_before_the_control_instance_is_open() throws Exception {
    InetSocketAddress address = freeAddress();
    PeerService.start(server, address, EventLog.none());
    PeerLinks links =
        PeerLinks.create(entry, name -> address, Runnable::run, InstantSource.system());

    try (AutoCloseable watch =
        links.watch(
            "control-1", WatchCall.of("entry-1", 0), stream::offer, () -> stream.offer(END))) {
      assertEquals(END, stream.poll(10, SECONDS));
    }
  }

  private static PeerNetwork network(String name) {
    return PeerNetwork.create(
        name,
        ClusterKey.of("a key that all daemons share"),
        Sockets.of(Optional.empty()),
        () -> true,
        EventLog.none());
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }
  }
}
