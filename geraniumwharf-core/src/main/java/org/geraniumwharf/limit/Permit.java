package org.geraniumwharf.limit;

import java.time.Instant;
import java.util.Optional;

/**
 * Allows one request to a target.
 *
 * @param target instance id of the target
 * @param incarnation incarnation of its process
 * @param expiresAt end of the time in which the request may be sent; empty if the target had no
 *     limit when the permit was taken
 */
public record Permit(String target, long incarnation, Optional<Instant> expiresAt) {}
