package org.geraniumwharf.internal.node;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.internal.settings.IniFile;
import org.geraniumwharf.internal.settings.InvalidSettingsException;
import org.geraniumwharf.relay.ColdBounds;
import org.geraniumwharf.weights.ReplacedWeights;

/** Reads the settings of a node from an INI file and reports every fault with section and key. */
public final class NodeSettingsLoader {

  private static final String ADDRESS = "[^ :]+:[0-9]{1,5}";
  private static final int MIN_KEY_LENGTH = 16;

  private final IniFile ini;
  private final List<String> faults = new ArrayList<>();

  private NodeSettingsLoader(IniFile ini) {
    this.ini = ini;
  }

  /**
   * Loads and checks a file.
   *
   * @throws InvalidSettingsException if it cannot be read or has any fault
   */
  public static NodeSettings load(Path file) throws InvalidSettingsException {
    try {
      return new NodeSettingsLoader(IniFile.read(file)).convert();
    } catch (IOException e) {
      throw new InvalidSettingsException(List.of("cannot read " + file + ": " + e));
    }
  }

  private NodeSettings convert() throws InvalidSettingsException {
    String peer = requiredAddress("listen", "peer");
    NodeSettings settings =
        new NodeSettings(
            required("node", "name"),
            required("node", "data-centre"),
            optional("node", "data-folder").map(Path::of),
            flag("node", "bootstrap"),
            peer,
            optionalAddress("listen", "entry"),
            optionalAddress("listen", "ready"),
            optionalAddress("listen", "control"),
            optionalAddress("listen", "metrics"),
            seeds(peer),
            (int) number("control", "tolerated-losses"),
            clusterKey(),
            number("relay", "retry-share"),
            number("relay", "retry-reserve"),
            replacedWeights(),
            heldRequests(),
            evacuation(),
            coldBounds(),
            optionalFlag("relay", "fair-queue"),
            optional("relay", "learned-cost").isPresent() && flag("relay", "learned-cost"),
            regions(),
            Duration.ofMillis((long) (number("shutdown", "grace-seconds") * 1000)));
    if (settings.control().isPresent() && settings.dataFolder().isEmpty()) {
      faults.add("[node] data-folder: a control instance needs a data folder");
    }
    if (!faults.isEmpty()) {
      throw new InvalidSettingsException(faults);
    }
    return settings;
  }

  /** Every process listens for its peers at the same port. */
  private List<String> seeds(String peer) {
    String port = peer.substring(peer.lastIndexOf(':') + 1);
    List<String> seeds = new ArrayList<>();
    for (String seed : required("control", "seeds").split(",")) {
      if (seed.strip().matches(ADDRESS)) {
        seeds.add(seed.strip().substring(0, seed.strip().lastIndexOf(':') + 1) + port);
      } else {
        faults.add("[control] seeds: expected host:port but found " + seed);
      }
    }
    return seeds;
  }

  private String clusterKey() {
    String key = required("node", "cluster-key");
    if (key.length() < MIN_KEY_LENGTH) {
      faults.add("[node] cluster-key: must have at least " + MIN_KEY_LENGTH + " characters");
    }
    return key;
  }

  private ReplacedWeights.Bounds replacedWeights() {
    ReplacedWeights.Bounds defaults = ReplacedWeights.Bounds.DEFAULT;
    ReplacedWeights.Bounds bounds =
        new ReplacedWeights.Bounds(
            optionalMillis("relay", "replaced-weights-millis", defaults.inStretch()),
            optionalMillis("relay", "replaced-weights-total-millis", defaults.inTotal()));
    if (bounds.inTotal().compareTo(bounds.margin()) <= 0) {
      faults.add(
          String.format(
              "[relay] replaced-weights-total-millis: must be above a quarter of"
                  + " replaced-weights-millis, %d ms, but is %d ms",
              bounds.margin().toMillis(), bounds.inTotal().toMillis()));
    }
    return bounds;
  }

  /** Reads the number of requests that are held; none without it. */
  private int heldRequests() {
    if (optional("relay", "held-requests").isEmpty()) {
      return 0;
    }
    double value = number("relay", "held-requests");
    if (value < 0) {
      faults.add("[relay] held-requests: must not be negative");
    }
    return (int) value;
  }

  /** Reads the time after which an ordered evacuation must be in force; no orders without it. */
  private Optional<Duration> evacuation() {
    return optional("relay", "evacuation-millis")
        .map(value -> optionalMillis("relay", "evacuation-millis", Duration.ZERO));
  }

  /** Reads the bounds of the requests to a cold target; none unless both keys have a value. */
  private Optional<ColdBounds> coldBounds() {
    if (optional("relay", "cold-overage").isEmpty() || optional("relay", "cold-slack").isEmpty()) {
      return Optional.empty();
    }
    double overage = number("relay", "cold-overage");
    double slack = number("relay", "cold-slack");
    if (!(overage > 0 && Double.isFinite(overage))) {
      faults.add("[relay] cold-overage: must be above 0");
    }
    if (!(slack >= 0 && Double.isFinite(slack))) {
      faults.add("[relay] cold-slack: must not be negative");
    }
    return Optional.of(new ColdBounds(overage, slack));
  }

  /**
   * Reads the regions of the data centres. That of the data centre of the process itself may be
   * given by its own key alone.
   */
  private Map<String, String> regions() {
    Map<String, String> regions = new HashMap<>(ini.section("data-centres"));
    regions.values().removeIf(String::isEmpty);
    Optional<String> own = optional("node", "region");
    String dataCentre = ini.value("node", "data-centre");
    if (own.isPresent()) {
      String listed = regions.putIfAbsent(dataCentre, own.get());
      if (listed != null && !listed.equals(own.get())) {
        faults.add(
            String.format(
                "[data-centres] %s: is %s but [node] region is %s", dataCentre, listed, own.get()));
      }
    }
    return regions;
  }

  private Optional<String> optional(String section, String key) {
    String value = ini.value(section, key);
    return value.isEmpty() ? Optional.empty() : Optional.of(value);
  }

  private String required(String section, String key) {
    Optional<String> value = optional(section, key);
    if (value.isEmpty()) {
      faults.add("[" + section + "] " + key + ": is missing");
    }
    return value.orElse("");
  }

  private Optional<String> optionalAddress(String section, String key) {
    Optional<String> value = optional(section, key);
    value.ifPresent(address -> checkAddress(section, key, address));
    return value;
  }

  private String requiredAddress(String section, String key) {
    String value = required(section, key);
    checkAddress(section, key, value);
    return value;
  }

  private void checkAddress(String section, String key, String value) {
    if (!value.matches(ADDRESS)) {
      faults.add("[" + section + "] " + key + ": expected host:port but found " + value);
    }
  }

  private boolean flag(String section, String key) {
    String value = required(section, key);
    if (!value.equals("true") && !value.equals("false")) {
      faults.add("[" + section + "] " + key + ": expected true or false but found " + value);
    }
    return value.equals("true");
  }

  /** Reads a flag; false without it. */
  private boolean optionalFlag(String section, String key) {
    return optional(section, key).isPresent() && flag(section, key);
  }

  /** Reads a time above zero, or takes the default if it is missing. */
  private Duration optionalMillis(String section, String key, Duration absent) {
    if (optional(section, key).isEmpty()) {
      return absent;
    }
    Duration value = Duration.ofMillis((long) number(section, key));
    if (value.compareTo(Duration.ZERO) <= 0) {
      faults.add("[" + section + "] " + key + ": must be above 0");
    }
    return value;
  }

  private double number(String section, String key) {
    String value = required(section, key);
    try {
      return Double.parseDouble(value);
    } catch (NumberFormatException e) {
      faults.add("[" + section + "] " + key + ": expected a number but found " + value);
      return 0;
    }
  }
}
