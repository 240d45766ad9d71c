package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.nio.channels.ClosedChannelException;
import org.junit.jupiter.api.Test;

class CrashWatchTest {

  @Test
  void should_take_a_refused_connection_for_a_crash() {
    assertTrue(CrashWatch.isRefusal(new ConnectException("Connection refused")));
  }

  @Test
  void should_not_take_an_unreachable_host_for_a_crash() {
    assertFalse(CrashWatch.isRefusal(new ConnectTimeoutException("timed out")));
    assertFalse(CrashWatch.isRefusal(new NoRouteToHostException("no route")));
    assertFalse(CrashWatch.isRefusal(new ClosedChannelException()));
  }
}
