package org.geraniumwharf.relay;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.geraniumwharf.schema.objects.Organisation;

/**
 * Says who may share kept cache, by the organisations that are isolated. Immutable.
 *
 * <p>An isolated organisation has a scope of its own. All others share one that differs for each
 * set of isolated organisations, so it contains nothing that one of these made, at any time. No
 * instance has to know who made what, and all that have the same configuration use the same scopes.
 */
public final class CacheSharing {

  private static final int DIGEST_CHARACTERS = 16;
  private static final CacheSharing AMONG_ALL = new CacheSharing(Set.of());

  private final Set<String> isolated;
  private final String commonScope;

  private CacheSharing(Set<String> isolated) {
    this.isolated = isolated;
    this.commonScope = isolated.isEmpty() ? "" : "." + digestOf(isolated);
  }

  /** Returns the sharing where no organisation is isolated. */
  public static CacheSharing amongAll() {
    return AMONG_ALL;
  }

  /** Returns the sharing where the organisations with these names are isolated. */
  public static CacheSharing isolating(Collection<String> names) {
    return names.isEmpty() ? AMONG_ALL : new CacheSharing(new TreeSet<>(names));
  }

  /** Names may contain any character, so their digests, which have one length, are joined. */
  private static String digestOf(Set<String> names) {
    String digests = names.stream().map(RelayTable::digestOf).collect(Collectors.joining());
    return RelayTable.digestOf(digests).substring(0, DIGEST_CHARACTERS);
  }

  /** Returns the sharing where those are isolated that are so in this one or in another. */
  public CacheSharing and(CacheSharing other) {
    if (isolated.containsAll(other.isolated)) {
      return this;
    }
    Set<String> both = new TreeSet<>(isolated);
    both.addAll(other.isolated);
    return new CacheSharing(both);
  }

  /** Returns the part of a cache scope that stands for those who share it. */
  String scopeOf(Optional<Organisation> organisation) {
    return organisation
        .map(Organisation::name)
        .filter(isolated::contains)
        .map(name -> "-" + name)
        .orElse(commonScope);
  }

  @Override
  public String toString() {
    return "CacheSharing[isolated=" + isolated + "]";
  }
}
