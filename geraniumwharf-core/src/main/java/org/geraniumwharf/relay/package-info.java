/**
 * Routing, queueing, placement and retries of opaque requests that are relayed to targets. The
 * classes of this package do no I/O and read no clock.
 */
package org.geraniumwharf.relay;
