package org.geraniumwharf.internal.node;

import java.io.IOException;
import java.util.function.BooleanSupplier;
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
   * @param isAllowed asked last, when only the sending is left
   * @throws IOException if the order is no longer allowed, or if there is no answer: then it may
   *     have been taken
   */
  int order(Announcement engine, OrderProtocol.WeightsOrder order, BooleanSupplier isAllowed)
      throws IOException, InterruptedException;
}
