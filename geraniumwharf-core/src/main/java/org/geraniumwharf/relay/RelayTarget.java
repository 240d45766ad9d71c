package org.geraniumwharf.relay;

/**
 * A target that may take relayed work.
 *
 * @param id its instance id
 * @param address host:port
 * @param dataCentre data centre it stands in
 * @param slots requests it runs at once; 0 when unknown
 * @param weightsVersion version of its weights; 0 when it has none
 */
public record RelayTarget(
    String id, String address, String dataCentre, int slots, long weightsVersion) {}
