/**
 * What this daemon knows of the fleet: the view fed by the control role, its freshness, calls to
 * the leader, and the heartbeats of this daemon and its targets.
 */
package org.geraniumwharf.internal.fleet;
