package org.geraniumwharf.internal.testing;

/** Creates stand-ins by the name of their kind. */
public final class StandInFactory {

  private StandInFactory() {}

  /** Creates and starts a stand-in. */
  public static void start(String kind, StandInOptions options) {
    create(kind, options).start();
  }

  static StandIn create(String kind, StandInOptions options) {
    return switch (kind) {
      case "engine" -> new EngineStandIn(options);
      case "store" -> new StoreStandIn(options);
      case "weight-store" -> new WeightStoreStandIn(options);
      case "ledger" -> new LedgerStandIn(options);
      default -> throw new IllegalArgumentException("no stand-in is called " + kind);
    };
  }
}
