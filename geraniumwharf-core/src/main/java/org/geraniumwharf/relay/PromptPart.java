package org.geraniumwharf.relay;

/**
 * One named part of a prompt. Requests that share their first parts share the kept cache of them.
 *
 * @param id name of the part
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
