/** Connections between daemons: framing, handshake, calls and one-way messages. */
package org.geraniumwharf.internal.transport;
