package org.geraniumwharf.internal.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.internal.fleet.RegionExchange;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.relay.DataCentreRegions;
import org.geraniumwharf.schema.messages.DataCentreRegion;
import org.geraniumwharf.schema.messages.RegionReport;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.objects.RelayRoute;

/**
 * The regions of data centres as the settings state them and as other instances state them of their
 * own data centres. What was stated is kept without a time limit, since a data centre does not
 * move. A data centre of which different regions are stated has no known region. Thread-safe.
 */
public final class KnownRegions implements RegionExchange {

  /** Time between questions; one answer takes some 40 bytes for each data centre. */
  private static final Duration ASK_INTERVAL = Duration.ofSeconds(1);

  private final String dataCentre;
  private final boolean isEntry;
  private final Map<String, String> settings;
  private final EventLog log;
  private final Map<String, String> stated = new HashMap<>();
  private final Set<String> contradicted = new HashSet<>();
  private volatile DataCentreRegions current;
  private Configuration checked = Configuration.empty();
  private boolean isRestricted;
  private Instant nextAsk = Instant.MIN;

  private KnownRegions(
      String dataCentre, boolean isEntry, Map<String, String> settings, EventLog log) {
    this.dataCentre = dataCentre;
    this.isEntry = isEntry;
    this.settings = settings;
    this.log = log;
    this.current = DataCentreRegions.of(settings);
  }

  /**
   * Creates the regions that an instance knows.
   *
   * @param dataCentre data centre of the instance
   * @param isEntry whether it is an entry instance, which asks for what others state
   * @param settings regions by the names of data centres, as its settings state them
   */
  public static KnownRegions create(
      String dataCentre, boolean isEntry, Map<String, String> settings, EventLog log) {
    return new KnownRegions(dataCentre, isEntry, Map.copyOf(settings), log);
  }

  /** Returns the regions that are known now. */
  public DataCentreRegions current() {
    return current;
  }

  @Override
  public synchronized Optional<RegionReport> report(Configuration configuration, Instant now) {
    if (configuration != checked) {
      checked = configuration;
      isRestricted = configuration.objects().stream().anyMatch(KnownRegions::isRestricted);
    }
    if (!isRestricted) {
      return Optional.empty();
    }
    boolean isAsking = isEntry && !now.isBefore(nextAsk);
    if (isAsking) {
      nextAsk = now.plus(ASK_INTERVAL);
    }
    return Optional.of(RegionReport.of(Optional.ofNullable(settings.get(dataCentre)), isAsking));
  }

  private static boolean isRestricted(PublishedObject object) {
    return (object instanceof RelayRoute route && !route.allowedRegions().isEmpty())
        || (object instanceof Organisation organisation
            && !organisation.allowedRegions().isEmpty());
  }

  @Override
  public synchronized void received(List<DataCentreRegion> newlyStated) {
    Map<String, String> regionsBefore = known();
    Set<String> contradictedBefore = Set.copyOf(contradicted);
    Map<String, String> newest = new HashMap<>();
    newlyStated.forEach(each -> contradicted.remove(each.dataCentre()));
    for (DataCentreRegion each : newlyStated) {
      String other =
          settings.getOrDefault(
              each.dataCentre(), newest.getOrDefault(each.dataCentre(), each.region()));
      if (!other.equals(each.region())) {
        contradicted.add(each.dataCentre());
      }
      newest.put(each.dataCentre(), each.region());
    }
    stated.putAll(newest);
    if (known().equals(regionsBefore) && contradicted.equals(contradictedBefore)) {
      return;
    }
    current = DataCentreRegions.of(known());
    log.info(
        Event.of("regions-known")
            .with("regions", new TreeMap<>(known()))
            .with("contradicted", new TreeSet<>(contradicted)));
  }

  private Map<String, String> known() {
    Map<String, String> known = new HashMap<>(stated);
    known.putAll(settings);
    known.keySet().removeAll(contradicted);
    return known;
  }
}
