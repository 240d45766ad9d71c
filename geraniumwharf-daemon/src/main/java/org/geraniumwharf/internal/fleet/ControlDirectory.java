package org.geraniumwharf.internal.fleet;

import java.net.InetSocketAddress;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Names and addresses of the control instances: those of the settings, and, where instances are
 * named by their addresses, those that the group tells of itself.
 */
public final class ControlDirectory {

  private final boolean isLearning;
  private volatile Map<String, InetSocketAddress> configured;
  private volatile Set<String> members = Set.of();

  private ControlDirectory(Map<String, InetSocketAddress> configured, boolean isLearning) {
    this.configured = configured;
    this.isLearning = isLearning;
  }

  /** Starts from a few instances that are named by their addresses, and learns the others. */
  public static ControlDirectory ofSeeds(List<String> seeds) {
    ControlDirectory directory = new ControlDirectory(Map.of(), true);
    directory.replaceSeeds(seeds);
    return directory;
  }

  /** Replaces the instances of the settings. */
  public void replaceSeeds(List<String> seeds) {
    Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    seeds.forEach(seed -> addresses.put(seed, parseAddress(seed)));
    configured = addresses;
  }

  /** Takes the members that a control instance told of. */
  void learn(List<String> names) {
    if (isLearning && !names.isEmpty()) {
      members = Collections.unmodifiableSet(new LinkedHashSet<>(names));
    }
  }

  /** Parses entries of the form {@code name=host:port}, which the settings check has verified. */
  public static ControlDirectory parse(List<String> entries) {
    Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    for (String entry : entries) {
      int equals = entry.indexOf('=');
      addresses.put(entry.substring(0, equals), parseAddress(entry.substring(equals + 1)));
    }
    return new ControlDirectory(addresses, false);
  }

  /** Parses {@code host:port}. */
  public static InetSocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  public List<String> names() {
    Set<String> names = new LinkedHashSet<>(members);
    names.addAll(configured.keySet());
    return List.copyOf(names);
  }

  public InetSocketAddress address(String name) {
    InetSocketAddress address = configured.get(name);
    return address == null ? parseAddress(name) : address;
  }
}
