package org.geraniumwharf.relay;

/**
 * One named part of a prompt. Requests that start with the same parts can reuse the kept cache of
 * these parts.
 *
 * @param id name of the part
 * @param tokens length, tokens
 */
public record PromptPart(String id, int tokens) {}
