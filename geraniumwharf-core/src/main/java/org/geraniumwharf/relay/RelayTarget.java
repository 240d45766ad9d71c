package org.geraniumwharf.relay;

import org.geraniumwharf.internal.routing.RendezvousHash;

/**
 * A target that can serve relayed requests.
 *
 * @param id instance id of the target
 * @param incarnation start of its process; a later process of the target has a greater one
 * @param address host:port
 * @param dataCentre data centre of the target
 * @param slots number of requests that it runs at the same time; 0 when unknown
 * @param model model whose weights it has; empty when it has none
 * @param weightsVersion version of its weights; 0 when it has none
 * @param hash hash of the id, from which the weights of the target for requests are computed
 */
public record RelayTarget(
    String id,
    long incarnation,
    String address,
    String dataCentre,
    int slots,
    String model,
    long weightsVersion,
    long hash) {

  /** Creates a target and computes the hash of its id. */
  public RelayTarget(
      String id,
      long incarnation,
      String address,
      String dataCentre,
      int slots,
      String model,
      long weightsVersion) {
    this(
        id,
        incarnation,
        address,
        dataCentre,
        slots,
        model,
        weightsVersion,
        RendezvousHash.keyOf(id));
  }
}
