package org.geraniumwharf.keptcache;

/**
 * A sealed object in a store that holds the leading pieces of a context.
 *
 * @param store name of the store
 * @param address base URL of the store
 * @param key key of the object; never reused for another object
 * @param pieces number of leading pieces that it holds
 * @param importMillis expected time to import it, ms
 */
public record KeptPrefix(
    String store, String address, String key, int pieces, double importMillis) {

  public static KeptPrefix of(
      String store, String address, String key, int pieces, double importMillis) {
    return new KeptPrefix(store, address, key, pieces, importMillis);
  }
}
