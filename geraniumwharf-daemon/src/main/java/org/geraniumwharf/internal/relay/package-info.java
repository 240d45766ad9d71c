/**
 * Relays opaque HTTP requests to targets. Each exchange is confined to the event loop of its
 * caller's connection; the tables that exchanges share have locks of their own, all innermost.
 */
package org.geraniumwharf.internal.relay;
