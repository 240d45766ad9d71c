package org.geraniumwharf.relay;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.objects.RelayLimits;
import org.geraniumwharf.schema.objects.RelayRoute;
import org.geraniumwharf.schema.objects.RelayService;

/**
 * Index of the routes, services and organisations of one configuration by which relayed requests
 * are resolved. Immutable.
 *
 * <pre>{@code
 * RelayTable table = RelayTable.of(configuration);
 * Optional<RelayRoute> route = table.route("quotes.example", "/drafts/7");
 * }</pre>
 */
public final class RelayTable {

  /** Kept, since the search for a provider takes longer than a digest. */
  private static final ThreadLocal<MessageDigest> DIGEST =
      ThreadLocal.withInitial(RelayTable::createDigest);

  private final Configuration configuration;
  private final Map<String, List<RelayRoute>> routesByHost = new HashMap<>();
  private final Map<String, RelayService> servicesByName = new HashMap<>();
  private final Map<String, Organisation> organisationsByKeyDigest = new HashMap<>();
  private final CacheSharing sharing;
  private Optional<RelayLimits> limits = Optional.empty();

  private RelayTable(Configuration configuration) {
    this.configuration = configuration;
    configuration.objects().forEach(this::add);
    this.sharing = CacheSharing.isolating(isolatedIn(configuration));
    routesByHost
        .values()
        .forEach(routes -> routes.sort(Comparator.comparing(RelayTable::prefixLength).reversed()));
  }

  public static RelayTable of(Configuration configuration) {
    return new RelayTable(configuration);
  }

  private void add(PublishedObject object) {
    if (object instanceof RelayRoute route) {
      String host = route.host().toLowerCase(Locale.ROOT);
      routesByHost.computeIfAbsent(host, key -> new ArrayList<>()).add(route);
    } else if (object instanceof RelayService service) {
      servicesByName.put(service.name(), service);
    } else if (object instanceof RelayLimits found) {
      limits = Optional.of(found);
    } else if (object instanceof Organisation organisation) {
      organisation
          .keyDigests()
          .forEach(digest -> organisationsByKeyDigest.put(digest, organisation));
    }
  }

  private static List<String> isolatedIn(Configuration configuration) {
    return configuration.objects().stream()
        .filter(Organisation.class::isInstance)
        .map(Organisation.class::cast)
        .filter(Organisation::isolated)
        .map(Organisation::name)
        .toList();
  }

  private static int prefixLength(RelayRoute route) {
    return route.pathPrefix().length();
  }

  /** Returns whether this table was built from the given configuration object. */
  public boolean isBuiltFrom(Configuration other) {
    return configuration == other;
  }

  /**
   * Returns the route of a host with the longest prefix of the path. The host is compared without
   * regard to case.
   */
  public Optional<RelayRoute> route(String host, String path) {
    for (RelayRoute route : routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  public Optional<RelayService> service(String name) {
    return Optional.ofNullable(servicesByName.get(name));
  }

  /** Returns the organisation that a key belongs to. */
  public Optional<Organisation> organisation(String key) {
    return Optional.ofNullable(organisationsByKeyDigest.get(digestOf(key)));
  }

  /** Returns who shares kept cache. */
  public CacheSharing sharing() {
    return sharing;
  }

  public Optional<RelayLimits> limits() {
    return limits;
  }

  /** Returns the SHA-256 digest of a key in hexadecimal, the form in which keys are published. */
  public static String digestOf(String key) {
    return HexFormat.of().formatHex(DIGEST.get().digest(key.getBytes(StandardCharsets.UTF_8)));
  }

  private static MessageDigest createDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }
}
