package org.geraniumwharf.internal.node;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Map;
import java.util.Optional;

/** How engines are told to take new weights, and how they tell what they hold. */
public interface OrderProtocol {

  /** Returns the call that asks an engine for its state. */
  FullHttpRequest report(String address);

  /** Reads the answer to that call; empty when it cannot be read. */
  Optional<EngineReport> readReport(ByteBuf body);

  /** Returns the call that tells an engine to take new weights once its runs have ended. */
  FullHttpRequest order(String address, WeightsOrder order);

  /**
   * State of an engine.
   *
   * @param orders orders that it has taken since its start
   * @param isBusy whether an order is under way
   * @param versions version of the weights of each model
   */
  record EngineReport(long orders, boolean isBusy, Map<String, Long> versions) {

    public EngineReport {
      versions = Map.copyOf(versions);
    }
  }

  /**
   * An order.
   *
   * @param target engine that it is for; any other must refuse it
   * @param model model whose weights change
   * @param version version to take
   * @param holder who gives the order
   * @param fence term of the leader that gives it
   * @param expectedOrders orders that the engine has taken before it
   */
  record WeightsOrder(
      String target, String model, long version, String holder, long fence, long expectedOrders) {}
}
