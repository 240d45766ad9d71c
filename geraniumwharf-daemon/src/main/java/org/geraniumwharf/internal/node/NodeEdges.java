package org.geraniumwharf.internal.node;

import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.geraniumwharf.internal.http.ApiServer;
import org.geraniumwharf.internal.relay.CacheProtocol;
import org.geraniumwharf.internal.relay.RelayProtocol;

/** How callers, targets, operators and the balancer of a platform speak to a node. */
public interface NodeEdges {

  /** Returns how relayed requests are written. */
  RelayProtocol relay();

  /** Returns how engines are told to take new weights. */
  OrderProtocol orders();

  /** Returns how cache stores tell what they hold. */
  CacheProtocol cache();

  /** Answers the balancer's question whether the node takes requests. */
  ApiServer.ApiHandler readiness(BooleanSupplier isReady);

  /**
   * Answers operators and targets.
   *
   * @param service the control role
   * @param workers threads that may block
   */
  ApiServer.ApiHandler control(ControlService service, Executor workers);
}
