/**
 * Limits of requests a second that targets state in their responses: which limits are in force, the
 * permits that the leader issues for limited targets, and the permits that an entry holds.
 */
package org.geraniumwharf.limit;
