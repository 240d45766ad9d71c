package org.geraniumwharf.internal.node;

import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.function.BooleanSupplier;
import org.geraniumwharf.announcement.AnnouncedAddress;
import org.geraniumwharf.internal.fleet.NumericAddress;
import org.geraniumwharf.internal.relay.BufferingHttpClient;
import org.geraniumwharf.schema.targets.Announcement;

/** Calls engines over HTTP and waits for their answers. */
final class HttpEngineOrders implements EngineOrders {

  private static final Duration REPORT_TIMEOUT = Duration.ofMillis(800);

  /** Shorter, since an order may be given again: the engine refuses it if it took the first. */
  private static final Duration ORDER_TIMEOUT = Duration.ofMillis(400);

  private static final int OK = 200;

  private final OrderProtocol protocol;
  private final BufferingHttpClient calls;

  HttpEngineOrders(OrderProtocol protocol, BufferingHttpClient calls) {
    this.protocol = protocol;
    this.calls = calls;
  }

  @Override
  public OrderProtocol.EngineReport report(Announcement engine)
      throws IOException, InterruptedException {
    BufferingHttpClient.Response reply =
        call(
            engine,
            protocol.report(AnnouncedAddress.hostAndPort(engine)),
            REPORT_TIMEOUT,
            () -> true);
    if (reply.status() != OK) {
      throw new IOException("the report has status " + reply.status());
    }
    return protocol
        .readReport(reply.body())
        .orElseThrow(() -> new IOException("the report cannot be read"));
  }

  @Override
  public int order(Announcement engine, OrderProtocol.WeightsOrder order, BooleanSupplier isAllowed)
      throws IOException, InterruptedException {
    return call(
            engine,
            protocol.order(AnnouncedAddress.hostAndPort(engine), order),
            ORDER_TIMEOUT,
            isAllowed)
        .status();
  }

  private BufferingHttpClient.Response call(
      Announcement engine, FullHttpRequest request, Duration timeout, BooleanSupplier isAllowed)
      throws IOException, InterruptedException {
    InetSocketAddress address =
        NumericAddress.parse(AnnouncedAddress.hostAndPort(engine))
            .orElseThrow(() -> new IOException("the address cannot be used"));
    try {
      return calls.sendIfAllowed(address, request, timeout, isAllowed).get();
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e.getCause());
    }
  }
}
