/** Wiring of the daemon's parts, and their start and shutdown in order. */
package org.geraniumwharf.internal.daemon;
