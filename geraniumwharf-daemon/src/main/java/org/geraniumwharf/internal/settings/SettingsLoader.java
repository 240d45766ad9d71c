package org.geraniumwharf.internal.settings;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.geraniumwharf.schema.InvalidDocumentException;
import org.geraniumwharf.schema.PropertyDescription;
import org.geraniumwharf.schema.SchemaChecker;
import org.geraniumwharf.schema.SchemaFault;
import org.geraniumwharf.schema.settings.ControlSettings;
import org.geraniumwharf.schema.settings.CredentialSettings;
import org.geraniumwharf.schema.settings.DaemonSettings;
import org.geraniumwharf.schema.settings.IdentitySettings;
import org.geraniumwharf.schema.settings.LimitSettings;
import org.geraniumwharf.schema.settings.ListenSettings;
import org.geraniumwharf.schema.settings.RoutingSettings;
import org.geraniumwharf.schema.settings.ShutdownSettings;
import org.geraniumwharf.schema.settings.TlsSettings;

/**
 * Reads a settings file. Each section is one object of the settings schema; values are converted to
 * the schema's types, lists are separated by commas.
 */
public final class SettingsLoader {

  /** Sections and the type of each. */
  public static final Map<String, Class<?>> SECTIONS = sections();

  private final List<String> faults = new ArrayList<>();

  private SettingsLoader() {}

  /**
   * Loads and checks a file.
   *
   * @throws InvalidSettingsException if it cannot be read or has any fault
   */
  public static DaemonSettings load(Path file) throws InvalidSettingsException {
    INIConfiguration ini = new INIConfiguration();
    try (Reader reader = Files.newBufferedReader(file)) {
      ini.read(reader);
    } catch (IOException | ConfigurationException e) {
      throw new InvalidSettingsException(List.of("cannot read " + file + ": " + e));
    }
    return new SettingsLoader().convert(ini);
  }

  private DaemonSettings convert(INIConfiguration ini) throws InvalidSettingsException {
    checkSectionNames(ini.getSections());
    ObjectNode document = JsonNodeFactory.instance.objectNode();
    SECTIONS.forEach(
        (section, type) ->
            document.set(section, readSection(ini.getSection(section), section, type)));
    SchemaChecker.faultsOf(document, DaemonSettings.class).forEach(this::addFault);
    if (!faults.isEmpty()) {
      throw new InvalidSettingsException(faults);
    }
    try {
      DaemonSettings settings = SchemaChecker.read(document, DaemonSettings.class);
      faults.addAll(SettingsRules.check(settings));
      if (!faults.isEmpty()) {
        throw new InvalidSettingsException(faults);
      }
      return settings;
    } catch (InvalidDocumentException e) {
      throw new InvalidSettingsException(List.of(e.getMessage()));
    }
  }

  private void checkSectionNames(Set<String> names) {
    for (String name : names) {
      if (name == null) {
        faults.add("a key stands before the first section");
      } else if (!SECTIONS.containsKey(name)) {
        faults.add(
            "[" + name + "]: unknown section; known are " + String.join(", ", SECTIONS.keySet()));
      }
    }
  }

  private ObjectNode readSection(SubnodeConfiguration values, String section, Class<?> type) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    Map<String, PropertyDescription> known = new LinkedHashMap<>();
    PropertyDescription.of(type).forEach(property -> known.put(property.name(), property));
    Iterator<String> keys = values.getKeys();
    while (keys.hasNext()) {
      String key = keys.next();
      PropertyDescription property = known.get(key);
      if (property == null) {
        faults.add("[" + section + "] " + key + ": unknown key");
      } else {
        setValue(node, section, property, values.getString(key, ""));
      }
    }
    return node;
  }

  private void setValue(
      ObjectNode node, String section, PropertyDescription property, String text) {
    String key = property.name();
    switch (property.type()) {
      case "integer" -> {
        try {
          node.put(key, Long.parseLong(text));
        } catch (NumberFormatException e) {
          addWrongType(node, section, key, text, "a whole number");
        }
      }
      case "boolean" -> {
        if (text.equals("true") || text.equals("false")) {
          node.put(key, Boolean.parseBoolean(text));
        } else {
          addWrongType(node, section, key, text, "true or false");
        }
      }
      case "array" -> {
        var list = node.putArray(key);
        for (String part : text.split(",")) {
          if (!part.isBlank()) {
            list.add(part.strip());
          }
        }
      }
      default -> node.put(key, text);
    }
  }

  /** Keeps the key present, so that a wrong value is not reported as missing too. */
  private void addWrongType(
      ObjectNode node, String section, String key, String text, String expected) {
    faults.add("[" + section + "] " + key + ": expected " + expected + " but found " + text);
    node.put(key, Integer.MAX_VALUE / 2);
  }

  private void addFault(SchemaFault fault) {
    String field = fault.field();
    int dot = field.indexOf('.');
    String place =
        dot < 0 ? field : "[" + field.substring(0, dot) + "] " + field.substring(dot + 1);
    boolean isKnown = faults.stream().anyMatch(known -> known.startsWith(place + ":"));
    if (!isKnown) {
      faults.add(place + ": " + fault.message());
    }
  }

  private static Map<String, Class<?>> sections() {
    Map<String, Class<?>> sections = new LinkedHashMap<>();
    sections.put("daemon", IdentitySettings.class);
    sections.put("listen", ListenSettings.class);
    sections.put("control", ControlSettings.class);
    sections.put("credentials", CredentialSettings.class);
    sections.put("limits", LimitSettings.class);
    sections.put("routing", RoutingSettings.class);
    sections.put("shutdown", ShutdownSettings.class);
    sections.put("tls", TlsSettings.class);
    return Collections.unmodifiableMap(sections);
  }
}
