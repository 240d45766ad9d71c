/**
 * The deterministic replicated state machine: configuration, targets, rollouts, run records and
 * named weights.
 */
package org.geraniumwharf.internal.state;
