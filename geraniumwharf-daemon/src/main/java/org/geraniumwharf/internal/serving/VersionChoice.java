package org.geraniumwharf.internal.serving;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.geraniumwharf.internal.fleet.FleetSnapshot;
import org.geraniumwharf.internal.routing.RendezvousHash;
import org.geraniumwharf.placement.ServableVersions;
import org.geraniumwharf.schema.objects.Deployment;

/**
 * The model version that answers a request while a deployment changes its version. Contexts move
 * over in the share of the targets that hold the wanted version, each once: which ones follows from
 * a hash of their beginning, so that entry instances agree without talking.
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
