/** Rendezvous hashing for the routing policies. */
package org.geraniumwharf.internal.routing;
