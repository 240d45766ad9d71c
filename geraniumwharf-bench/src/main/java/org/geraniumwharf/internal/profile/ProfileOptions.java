package org.geraniumwharf.internal.profile;

import java.util.List;

/**
 * What is run.
 *
 * @param rate requests a second to each entry instance
 * @param maxEvents most events of a stream, which tells the cost of requests from that of events
 * @param loadSeconds time under load, directly after the start
 * @param restSeconds time without load after it
 * @param machineOptions options of the virtual machines behind those of the deploy file
 * @param comparedOptions further options of the second entry instance and those behind it, one list
 *     for each, to compare them with the first
 * @param isSampled whether stacks are sampled
 */
public record ProfileOptions(
    int controls,
    int entries,
    int engines,
    int rate,
    int maxEvents,
    int loadSeconds,
    int restSeconds,
    List<String> machineOptions,
    List<List<String>> comparedOptions,
    boolean isSampled) {}
