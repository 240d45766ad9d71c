package org.geraniumwharf.internal.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.geraniumwharf.schema.settings.ControlSettings;
import org.geraniumwharf.schema.settings.DaemonSettings;
import org.geraniumwharf.schema.settings.IdentitySettings;
import org.geraniumwharf.schema.settings.TlsSettings;

/** Rules between settings that the schema cannot express. */
final class SettingsRules {

  private static final Set<String> ROLES = Set.of("entry", "control");
  private static final int HEARTBEATS_PER_ELECTION = 3;
  private static final int TLS_FILES = 3;

  private SettingsRules() {}

  static List<String> check(DaemonSettings settings) {
    List<String> faults = new ArrayList<>();
    checkIdentity(settings.daemon(), faults);
    checkControl(settings, faults);
    checkTls(settings.tls(), faults);
    return faults;
  }

  private static void checkIdentity(IdentitySettings identity, List<String> faults) {
    if (identity.roles().isEmpty() || !ROLES.containsAll(identity.roles())) {
      faults.add("[daemon] roles: expected entry, control or both");
    }
    if (identity.roles().contains("control") && identity.dataFolder().isEmpty()) {
      faults.add("[daemon] data-folder: role control needs a data folder");
    }
  }

  private static void checkControl(DaemonSettings settings, List<String> faults) {
    ControlSettings control = settings.control();
    List<String> names = new ArrayList<>();
    for (String instance : control.instances()) {
      if (instance.matches("[a-z0-9][a-z0-9.-]*=[^ :]+:[0-9]{1,5}")) {
        names.add(instance.substring(0, instance.indexOf('=')));
      } else {
        faults.add("[control] instances: expected name=host:port but found " + instance);
      }
    }
    if (names.size() != Set.copyOf(names).size()) {
      faults.add("[control] instances: a name stands twice");
    }
    boolean hasControl = settings.daemon().roles().contains("control");
    if (hasControl && !names.contains(settings.daemon().name())) {
      faults.add("[control] instances: this daemon has role control and must be listed");
    }
    if (control.electionMillis() < control.heartbeatMillis() * HEARTBEATS_PER_ELECTION) {
      faults.add("[control] election-millis: must be at least three times heartbeat-millis");
    }
  }

  private static void checkTls(TlsSettings tls, List<String> faults) {
    long given =
        Stream.of(tls.certificateFile(), tls.privateKeyFile(), tls.authorityFile())
            .filter(file -> file.isPresent())
            .count();
    if (given != 0 && given != TLS_FILES) {
      faults.add(
          "[tls]: give all of certificate-file, private-key-file and authority-file or none");
    }
  }
}
