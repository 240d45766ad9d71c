/**
 * Context that is kept in stores after engines have evicted it: what is worth keeping, and whether
 * importing it is faster than computing it again.
 */
package org.geraniumwharf.keptcache;
