package org.geraniumwharf.internal.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.LoadedWeights;
import org.geraniumwharf.schema.targets.TargetKind;

/** Measures what control costs a running fleet, and prints one Markdown row a figure. */
public final class ControlMeasurements {

  private static final int BOOKING_WORKERS = 64;
  private static final long BOOKING_SECONDS = 6;
  private static final int PUBLICATIONS = 30;
  private static final long IDLE_SECONDS = 15;
  private static final int ANNOUNCERS = 16;
  private static final long NANOS_PER_MICRO = 1000;
  private static final double MICROS_PER_MILLI = 1000;

  private final FleetAddresses fleet;
  private final OperatorCalls calls;
  private final FleetClient client = new FleetClient("");
  private final StringBuilder rows = new StringBuilder();

  private ControlMeasurements(FleetAddresses fleet) {
    this.fleet = fleet;
    this.calls = new OperatorCalls(fleet);
  }

  /** Commits a second, time until in force, idle costs; then kills the leader. */
  public static String ofFleet(Path fleetFile) throws IOException, InterruptedException {
    ControlMeasurements measurements = new ControlMeasurements(FleetAddresses.read(fleetFile));
    measurements.measureIdle("idle");
    measurements.measureCommits();
    measurements.measureInForce();
    measurements.measureLeaderLoss();
    return measurements.rows.toString();
  }

  /** Costs with so many announced targets. */
  public static String ofTargets(Path fleetFile, int targets)
      throws IOException, InterruptedException {
    ControlMeasurements measurements = new ControlMeasurements(FleetAddresses.read(fleetFile));
    measurements.measureTargets(targets);
    return measurements.rows.toString();
  }

  /** Costs with so many organisations. */
  public static String ofOrganisations(Path fleetFile, int organisations)
      throws IOException, InterruptedException {
    ControlMeasurements measurements = new ControlMeasurements(FleetAddresses.read(fleetFile));
    measurements.measureOrganisations(organisations);
    return measurements.rows.toString();
  }

  private void row(String what, double value, String unit) {
    rows.append(
        String.format(
            Locale.ROOT,
            "| %d | %s | %.2f | %s |%n",
            fleet.numbered("ENTRY_").size(),
            what,
            value,
            unit));
  }

  private List<String> operators() {
    return fleet.numbered("OPERATOR_");
  }

  private void measureIdle(String label) throws IOException, InterruptedException {
    List<ProcessUsage> before = usages();
    long bytesBefore = peerBytes();
    TimeUnit.SECONDS.sleep(IDLE_SECONDS);
    List<ProcessUsage> after = usages();
    double bytes = (peerBytes() - bytesBefore) / (double) IDLE_SECONDS;
    double most = 0;
    double sum = 0;
    long resident = 0;
    for (int i = 0; i < before.size(); i++) {
      double share =
          (after.get(i).processorMillis() - before.get(i).processorMillis())
              / (IDLE_SECONDS * 10.0);
      most = Math.max(most, share);
      sum += share;
      resident = Math.max(resident, after.get(i).residentMegabytes());
    }
    row(label + ": processor, busiest daemon", most, "% of a core");
    row(label + ": processor, mean of daemons", sum / before.size(), "% of a core");
    row(label + ": sent between daemons, mean of daemons", bytes / before.size() / 1024, "KB/s");
    row(label + ": memory, largest daemon", (double) resident, "MB");
  }

  private List<ProcessUsage> usages() throws IOException {
    List<ProcessUsage> usages = new ArrayList<>();
    for (String pid : fleet.numbered("PID_DAEMON_")) {
      usages.add(ProcessUsage.of(pid));
    }
    return usages;
  }

  private long peerBytes() {
    double bytes = 0;
    for (String operator : operators()) {
      bytes += client.metric(operator, "geraniumwharf_peer_bytes_sent_total");
    }
    return (long) bytes;
  }

  /** Each booking commits twice: its claim and its end. */
  private void measureCommits() throws InterruptedException {
    List<String> entries = fleet.numbered("ENTRY_");
    AtomicInteger booked = new AtomicInteger();
    Histogram latency = new Histogram(60_000_000L, 3);
    ExecutorService workers = Executors.newFixedThreadPool(BOOKING_WORKERS);
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(BOOKING_SECONDS);
    for (int i = 0; i < BOOKING_WORKERS; i++) {
      int worker = i;
      workers.execute(
          () -> bookUntil(end, entries.get(worker % entries.size()), worker, booked, latency));
    }
    workers.shutdown();
    workers.awaitTermination(1, TimeUnit.MINUTES);
    row("commits a second, 64 callers", 2.0 * booked.get() / BOOKING_SECONDS, "1/s");
    row("booking, median", latency.getValueAtPercentile(50) / MICROS_PER_MILLI, "ms");
    row("booking, 99th percentile", latency.getValueAtPercentile(99) / MICROS_PER_MILLI, "ms");
  }

  private void bookUntil(
      long end, String entry, int worker, AtomicInteger booked, Histogram latency) {
    for (int i = 0; System.nanoTime() < end; i++) {
      long start = System.nanoTime();
      if (calls.book(entry, "bench-" + worker + "-" + i)) {
        booked.incrementAndGet();
        synchronized (latency) {
          latency.recordValue((System.nanoTime() - start) / NANOS_PER_MICRO);
        }
      }
    }
  }

  private void measureInForce() {
    Histogram latency = new Histogram(60_000_000L, 3);
    for (int i = 0; i < PUBLICATIONS; i++) {
      JsonNode current = current();
      long version = current.path("version").asLong();
      String id = "bench-" + System.nanoTime();
      long start = System.nanoTime();
      ArrayNode objects = withMarker(current, i);
      if (calls.publish(operators().get(i % operators().size()), version, id, objects)) {
        awaitEverywhere(version + 1);
        latency.recordValue((System.nanoTime() - start) / NANOS_PER_MICRO);
      }
    }
    row(
        "publication until in force everywhere, median",
        latency.getValueAtPercentile(50) / MICROS_PER_MILLI,
        "ms");
    row(
        "publication until in force everywhere, slowest",
        latency.getMaxValue() / MICROS_PER_MILLI,
        "ms");
  }

  private JsonNode current() {
    return calls.get(operators().get(0) + "/v1/configuration").orElseThrow();
  }

  private static ArrayNode withMarker(JsonNode current, int number) {
    ArrayNode objects = current.path("objects").deepCopy();
    for (int i = objects.size() - 1; i >= 0; i--) {
      if (objects.get(i).path("name").asText().equals("bench-marker")) {
        objects.remove(i);
      }
    }
    ObjectNode marker = objects.addObject();
    marker.put("kind", "service").put("name", "bench-marker").put("maxAnswerBytes", number + 1);
    return objects;
  }

  private void awaitEverywhere(long version) {
    for (String operator : operators()) {
      while (versionAt(operator) < version) {
        Thread.onSpinWait();
      }
    }
  }

  private long versionAt(String operator) {
    return (long) client.metric(operator, "geraniumwharf_configuration_version");
  }

  private void measureLeaderLoss() {
    if (operators().size() < 3) {
      return;
    }
    JsonNode status = calls.get(operators().get(0) + "/v1/status").orElseThrow();
    int leader = Integer.parseInt(status.path("leader").asText().replaceAll("[^0-9]", ""));
    String other = operators().get(leader % operators().size());
    JsonNode current = current();
    ArrayNode objects = withMarker(current, PUBLICATIONS);
    String pid = fleet.numbered("PID_DAEMON_").get(leader - 1);
    ProcessHandle.of(Long.parseLong(pid)).ifPresent(ProcessHandle::destroyForcibly);
    long start = System.nanoTime();
    boolean isPublished = false;
    while (!isPublished) {
      isPublished =
          calls.publish(other, current.path("version").asLong(), "after-the-kill", objects);
    }
    row(
        "kill of the leader until the next publication is accepted",
        (System.nanoTime() - start) / 1e6,
        "ms");
  }

  private void measureTargets(int count) throws IOException, InterruptedException {
    List<String> entries = fleet.numbered("ENTRY_");
    ExecutorService announcers = Executors.newFixedThreadPool(ANNOUNCERS);
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(IDLE_SECONDS + 10);
    for (int i = 0; i < ANNOUNCERS; i++) {
      int first = i;
      announcers.execute(() -> announceUntil(end, entries, first, count));
    }
    TimeUnit.SECONDS.sleep(5);
    measureIdle(count + " targets");
    long known = calls.get(operators().get(0) + "/v1/targets").orElseThrow().path("targets").size();
    row(count + " targets: known at the first daemon", (double) known, "targets");
    announcers.shutdown();
    announcers.awaitTermination(1, TimeUnit.MINUTES);
  }

  /** Every target announces once a second. */
  private void announceUntil(long end, List<String> entries, int first, int count) {
    long sequence = 0;
    while (System.nanoTime() < end) {
      long next = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
      sequence++;
      for (int i = first; i < count; i += ANNOUNCERS) {
        calls.announce(entries.get(i % entries.size()), announcement(i, sequence));
      }
      sleepUntil(next);
    }
  }

  private static void sleepUntil(long nanos) {
    try {
      TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos - System.nanoTime()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Announcement announcement(int number, long sequence) {
    return Announcement.of(
        "probe-" + number,
        1,
        sequence,
        "http://127.0.0.1:9",
        "dc-1",
        TargetKind.ENGINE,
        Optional.empty(),
        Optional.empty(),
        List.of(LoadedWeights.of("probe-v1", List.of())),
        Optional.empty(),
        Optional.empty(),
        false,
        Optional.empty(),
        0,
        0);
  }

  private void measureOrganisations(int count) throws IOException, InterruptedException {
    JsonNode current = current();
    ArrayNode objects = current.path("objects").deepCopy();
    for (int i = 0; i < count; i++) {
      ObjectNode organisation = objects.addObject();
      organisation.put("kind", "organisation").put("name", "probe-" + i);
      organisation.putArray("routes").add("quotes");
      organisation
          .putArray("keys")
          .addObject()
          .put("id", String.format(Locale.ROOT, "probe%06d", i))
          .put("salt", "0".repeat(32))
          .put("hash", "0".repeat(64));
    }
    long version = current.path("version").asLong();
    long start = System.nanoTime();
    boolean isPublished = calls.publish(operators().get(0), version, "probe-" + count, objects);
    if (isPublished) {
      awaitEverywhere(version + 1);
    }
    row(
        count + " organisations: first publication until in force",
        isPublished ? (System.nanoTime() - start) / 1e6 : Double.NaN,
        "ms");
    long bytesBefore = peerBytes();
    long changeStart = System.nanoTime();
    calls.publish(
        operators().get(0), version + 1, "change-" + count, withMarker(withObjects(objects), 1));
    awaitEverywhere(version + 2);
    row(
        count + " organisations: one changed object until in force",
        (System.nanoTime() - changeStart) / 1e6,
        "ms");
    row(
        count + " organisations: bytes between daemons for that change",
        (peerBytes() - bytesBefore) / 1024.0,
        "KB");
    measureIdle(count + " organisations");
  }

  private static JsonNode withObjects(ArrayNode objects) {
    ObjectNode holder = objects.objectNode();
    holder.set("objects", objects);
    return holder;
  }
}
