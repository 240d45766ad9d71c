package org.geraniumwharf.internal.node;

import java.io.IOException;
import org.geraniumwharf.schema.targets.Announcement;

/** Asks engines for their state and gives them orders. */
interface EngineOrders {

  /**
   * Asks an engine for its state.
   *
   * @throws IOException if it does not answer
   */
  OrderProtocol.EngineReport report(Announcement engine) throws IOException, InterruptedException;

  /**
   * Gives an order and returns the status of the answer.
   *
   * @throws IOException if there is no answer; the order may have been taken
   */
  int order(Announcement engine, OrderProtocol.WeightsOrder order)
      throws IOException, InterruptedException;
}
