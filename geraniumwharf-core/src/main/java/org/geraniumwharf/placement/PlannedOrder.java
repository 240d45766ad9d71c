package org.geraniumwharf.placement;

import org.geraniumwharf.schema.state.OrderRecord;

/**
 * One order that the planner proposes.
 *
 * @param target name of the target
 * @param incarnation incarnation of the target that it was planned for
 * @param order the order; its sequence is 0 until it is recorded
 * @param reason why it is issued
 */
public record PlannedOrder(String target, long incarnation, OrderRecord order, String reason) {}
