/**
 * Decisions about opaque requests that are relayed to targets: routes, waiting, placement, retries.
 * Nothing here does I/O or reads a clock.
 */
package org.geraniumwharf.relay;
