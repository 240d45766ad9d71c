package org.geraniumwharf.prefix;

/**
 * Salt of piece names, which keeps contexts of different scopes from having a name in common.
 *
 * @param organisation name of the organisation
 * @param modelVersion name of the model version
 * @param weightsDigest digest of its weights
 * @param adapter name of the adapter; empty for none
 */
public record PrefixScope(
    String organisation, String modelVersion, String weightsDigest, String adapter) {

  public static PrefixScope of(
      String organisation, String modelVersion, String weightsDigest, String adapter) {
    return new PrefixScope(organisation, modelVersion, weightsDigest, adapter);
  }
}
