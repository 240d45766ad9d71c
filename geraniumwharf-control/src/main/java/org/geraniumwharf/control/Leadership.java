package org.geraniumwharf.control;

import java.time.Duration;
import java.time.Instant;

/**
 * The state of a control instance that leads its group.
 *
 * @param term its term
 * @param since when it became the leader
 * @param confirmedAge time since a quorum last confirmed it
 * @param isFirst whether no other instance can have led before
 */
public record Leadership(long term, Instant since, Duration confirmedAge, boolean isFirst) {}
