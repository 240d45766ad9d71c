package org.geraniumwharf.internal.serving;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.geraniumwharf.internal.fleet.FleetSnapshot;
import org.geraniumwharf.internal.routing.RendezvousHash;
import org.geraniumwharf.placement.ServableVersions;
import org.geraniumwharf.schema.objects.Deployment;

/**
 * Chooses the model version for a request while a deployment changes its version. The fraction of
 * contexts that use the wanted version equals the fraction of engines that hold it. A hash of the
 * first bytes of a context decides, so each context moves once and all entry instances choose the
 * same version without coordination.
 */
final class VersionChoice {

  private static final Hasher64 HASHER = Hashing.xxh3_64();
  private static final int MAX_HASHED_BYTES = 1024;

  private VersionChoice() {}

  static String choose(FleetSnapshot view, Deployment deployment, String adapter, byte[] context) {
    ServableVersions versions = view.servableVersions(deployment);
    int wanted = view.engines(versions.wanted(), adapter).size();
    for (String replaced : versions.replaced()) {
      int old = view.engines(replaced, adapter).size();
      boolean isServable = old > 0 && view.configuration().modelVersion(replaced).isPresent();
      if (isServable && hashFraction(context) >= (double) wanted / (wanted + old)) {
        return replaced;
      }
    }
    return versions.wanted();
  }

  /** Returns a number from 0 inclusive to 1 exclusive that depends on the context only. */
  private static double hashFraction(byte[] context) {
    long hash = HASHER.hashBytesToLong(context, 0, Math.min(MAX_HASHED_BYTES, context.length));
    return RendezvousHash.fraction(hash);
  }
}
