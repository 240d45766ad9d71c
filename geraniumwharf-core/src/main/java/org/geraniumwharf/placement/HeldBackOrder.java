package org.geraniumwharf.placement;

/**
 * An order that is needed but must not be issued now.
 *
 * @param target name of the target; empty when no target is available
 * @param reason bound that prevents it
 */
public record HeldBackOrder(String target, String reason) {}
