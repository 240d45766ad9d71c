package org.geraniumwharf.routing;

import org.geraniumwharf.internal.routing.RendezvousHash;
import org.geraniumwharf.schema.targets.EngineProfile;

/**
 * A live target that may serve a request.
 *
 * @param id name of the target
 * @param address base URL
 * @param dataCentre data centre of the target
 * @param profile nominal speed
 * @param hash hash of the name, from which the rendezvous weight for a context is computed
 */
public record RoutableTarget(
    String id, String address, String dataCentre, EngineProfile profile, long hash) {

  /** Assumed for a target that announces no profile, such as a plain service. */
  public static final EngineProfile DEFAULT_PROFILE = EngineProfile.of(16, 2000, 50, 1);

  public static RoutableTarget of(
      String id, String address, String dataCentre, EngineProfile profile) {
    return new RoutableTarget(id, address, dataCentre, profile, RendezvousHash.keyOf(id));
  }
}
