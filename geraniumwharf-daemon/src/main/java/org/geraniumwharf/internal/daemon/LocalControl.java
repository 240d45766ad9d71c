package org.geraniumwharf.internal.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.control.ControlException;
import org.geraniumwharf.control.ControlInstance;
import org.geraniumwharf.control.ControlInstances;
import org.geraniumwharf.control.ControlOptions;
import org.geraniumwharf.internal.fleet.ControlDirectory;
import org.geraniumwharf.internal.transport.PeerLinks;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.PeerMessage;
import org.geraniumwharf.schema.settings.ControlSettings;
import org.geraniumwharf.schema.settings.DaemonSettings;
import org.geraniumwharf.time.ProcessStart;

/** The control instance of this process, if its roles ask for one. */
final class LocalControl {

  private static final Duration PROBE_PAUSE = Duration.ofMillis(200);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

  private volatile Optional<ControlInstances.OpenedControl> opened = Optional.empty();
  private volatile Optional<ControlInstance> instance = Optional.empty();
  private final CompletableFuture<Throwable> failure = new CompletableFuture<>();

  /** Completes with the cause if the control instance ended by an error. */
  CompletableFuture<Throwable> failure() {
    return failure;
  }

  /** Tells other daemons whether the local replica holds any log entry. */
  boolean isInitialised() {
    return instance
        .map(ControlInstance::isInitialised)
        .orElseGet(() -> opened.map(control -> !control.isNew()).orElse(false));
  }

  void open(DaemonSettings settings, ControlDirectory directory, EventLog log, Instant now)
      throws ControlException {
    opened = Optional.of(ControlInstances.open(options(settings, directory.names(), now), log));
  }

  /**
   * Starts the replica. One without state first asks the others: when any of them holds entries,
   * this disk was lost and the replica must catch up before it votes; when all are new, the group
   * starts.
   */
  ControlInstance start(
      String self, ControlDirectory directory, PeerLinks links, EventLog log, InstantSource clock)
      throws ControlException, InterruptedException {
    ControlInstances.OpenedControl control = opened.orElseThrow();
    boolean isReplacing = control.isNew() && isGroupInitialised(self, directory, links, log);
    ControlInstance started =
        control.start((to, message) -> links.send(to, (PeerMessage) message), clock, isReplacing);
    instance = Optional.of(started);
    var unused = started.failure().thenAccept(failure::complete);
    return started;
  }

  private static boolean isGroupInitialised(
      String self, ControlDirectory directory, PeerLinks links, EventLog log)
      throws InterruptedException {
    List<String> others = directory.names().stream().filter(name -> !name.equals(self)).toList();
    while (true) {
      int newInstances = 0;
      for (String other : others) {
        try {
          if (links.isInitialised(other)) {
            log.info(Event.of("replacing-lost-disk").with("told-by", other));
            return true;
          }
          newInstances++;
        } catch (IOException e) {
          log.info(Event.of("waiting-for-control-instance").with("instance", other));
        }
      }
      if (newInstances == others.size()) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(PROBE_PAUSE.toMillis());
    }
  }

  private static ControlOptions options(
      DaemonSettings settings, List<String> instances, Instant now) {
    ControlSettings control = settings.control();
    return new ControlOptions(
        settings.daemon().name(),
        instances,
        Path.of(settings.daemon().dataFolder().orElseThrow()),
        Duration.ofMillis(control.heartbeatMillis()),
        Duration.ofMillis(control.electionMillis()),
        control.snapshotEntries(),
        Duration.ofMillis(control.targetLeaseMillis()),
        Duration.ofMillis(control.daemonLeaseMillis()),
        Duration.ofSeconds(control.runRetentionSeconds()),
        control.maxRuns(),
        ControlOptions.MEMBERS_BY_OPERATORS,
        ProcessStart.asOf(now));
  }

  /** Hands leadership over, stops and releases the data folder. */
  void stop(EventLog log) {
    instance.ifPresent(
        started -> {
          var unused =
              started
                  .shutdown()
                  .completeOnTimeout(null, STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                  .join();
        });
    opened.ifPresent(
        control -> {
          try {
            control.close();
          } catch (ControlException e) {
            log.warn(Event.of("storage-close-failed").with("cause", e.getMessage()));
          }
        });
  }
}
