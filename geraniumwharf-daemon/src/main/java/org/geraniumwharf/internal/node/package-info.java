/**
 * A process of a fleet that relays requests: settings, wiring, the group of control instances that
 * forms itself from seeds, and what an adapter of a platform calls.
 */
package org.geraniumwharf.internal.node;
