/**
 * Choice of a target for one request: candidates by rendezvous hashing, by cache hints and at
 * random, ordered by their estimated time to the first token.
 */
package org.geraniumwharf.routing;
