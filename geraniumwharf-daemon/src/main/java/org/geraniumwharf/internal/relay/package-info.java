/**
 * Relays opaque HTTP requests to targets. Each exchange is confined to the event loop of its
 * caller's connection. Each table that exchanges share has its own lock, and no other lock is
 * acquired while one of these is held.
 */
package org.geraniumwharf.internal.relay;
