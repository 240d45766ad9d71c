package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.schema.objects.Organisation;

/**
 * Requests of some organisations at some entries while configurations isolate organisations,
 * include them again, remove them and add them again; determined by its seed. Each entry gets a
 * configuration with a delay of its own, and a request may wait over several of them before it is
 * sent. A target keeps what it has read under the scope that the request states, for ever.
 */
final class IsolationSchedule {

  /** Time after which a configuration is in force everywhere. */
  private static final Duration APPLY_TIME = Duration.ofSeconds(2);

  private static final List<String> NAMES = List.of("wanjiru", "ndiaye", "baltkarte", "lindqvist");
  private static final int ENTRIES = 3;
  private static final int PARTS = 3;
  private static final int WEIGHTS_VERSIONS = 2;
  private static final int STEPS = 600;
  private static final int MAX_STEP_MILLIS = 200;
  private static final int MAX_WAIT_MILLIS = 5000;

  private final SplittableRandom random;
  private final List<Published> published = new ArrayList<>();
  private final List<Waiting> waiting = new ArrayList<>();
  private final Map<String, String> makers = new HashMap<>();
  private Instant now = TestRequests.NOW;
  private int foreignUses;

  /** A configuration, and when each entry gets it. */
  private record Published(
      Instant at, Map<String, Boolean> isolationByName, RelayTable table, List<Instant> appliedAt) {

    boolean isIsolated(String name) {
      return isolationByName.getOrDefault(name, false);
    }
  }

  private record Waiting(ResolvedRequest request, int entry, Instant sentAt) {}

  private IsolationSchedule(long seed) {
    random = new SplittableRandom(seed);
  }

  /**
   * Runs a schedule.
   *
   * @return how often an organisation used what another one made
   */
  static int run(long seed) {
    IsolationSchedule schedule = new IsolationSchedule(seed);
    schedule.run();
    return schedule.foreignUses;
  }

  private void run() {
    Map<String, Boolean> first = new HashMap<>();
    NAMES.forEach(name -> first.put(name, random.nextInt(4) == 0));
    publish(first);
    now = now.plus(APPLY_TIME);
    for (int i = 0; i < STEPS; i++) {
      now = now.plusMillis(random.nextInt(MAX_STEP_MILLIS));
      if (random.nextInt(20) == 0) {
        change();
      }
      arrive();
      sendDue();
    }
  }

  private void publish(Map<String, Boolean> isolationByName) {
    List<Organisation> organisations =
        isolationByName.entrySet().stream()
            .map(entry -> TestRequests.organisation(entry.getKey(), entry.getValue()))
            .toList();
    RelayTable table =
        RelayTable.of(Configuration.of(published.size() + 1, List.copyOf(organisations)));
    List<Instant> appliedAt = new ArrayList<>();
    for (int entry = 0; entry < ENTRIES; entry++) {
      appliedAt.add(now.plusMillis(random.nextLong(APPLY_TIME.toMillis())));
    }
    published.add(new Published(now, Map.copyOf(isolationByName), table, appliedAt));
  }

  /** Isolates an organisation or ends that, removes it or adds it again. */
  private void change() {
    Map<String, Boolean> next = new HashMap<>(published.get(published.size() - 1).isolationByName);
    String name = NAMES.get(random.nextInt(NAMES.size()));
    boolean isPresent = next.containsKey(name);
    if (isPresent && random.nextInt(4) == 0) {
      next.remove(name);
    } else {
      next.put(name, isPresent ? !next.get(name) : random.nextBoolean());
    }
    publish(next);
  }

  private Published knownTo(int entry) {
    return published.stream()
        .filter(version -> !version.appliedAt().get(entry).isAfter(now))
        .reduce((before, after) -> after)
        .orElseThrow();
  }

  private void arrive() {
    int entry = random.nextInt(ENTRIES);
    RelayTable table = knownTo(entry).table();
    String name = NAMES.get(random.nextInt(NAMES.size()));
    Optional<Organisation> organisation = table.organisation("key-of-" + name);
    if (organisation.isPresent()) {
      ResolvedRequest request =
          TestRequests.generation(
              organisation, new PromptPart("part-" + random.nextInt(PARTS), 500));
      waiting.add(
          new Waiting(
              request.sharingAlsoBy(table.sharing()),
              entry,
              now.plusMillis(random.nextInt(MAX_WAIT_MILLIS))));
    }
  }

  private void sendDue() {
    List<Waiting> due = waiting.stream().filter(next -> !next.sentAt().isAfter(now)).toList();
    waiting.removeAll(due);
    due.forEach(this::send);
  }

  private void send(Waiting next) {
    ResolvedRequest request = next.request().sharingAlsoBy(knownTo(next.entry()).table().sharing());
    RelayTarget target =
        new RelayTarget(
            "target-1", 1, "10.0.0.1:80", "dc-1", 12, "m", 1 + random.nextInt(WEIGHTS_VERSIONS));
    Organisation user = request.organisation().orElseThrow();
    String part = request.cacheScope(target) + '/' + request.request().prompt().get(0).id();
    String maker = makers.putIfAbsent(part, user.name());
    if (maker != null && !maker.equals(user.name())) {
      foreignUses++;
      boolean isAllowed =
          !user.isolated() && Stream.of(maker, user.name()).noneMatch(this::isIsolatedForLong);
      if (!isAllowed) {
        throw new AssertionError(
            user.name() + " uses " + part + " of " + maker + " at " + now.toEpochMilli());
      }
    }
  }

  /** Returns whether an organisation has been isolated for longer than an entry may not know. */
  private boolean isIsolatedForLong(String name) {
    Instant since = now.minus(APPLY_TIME);
    for (int i = published.size() - 1; i >= 0; i--) {
      if (!published.get(i).isIsolated(name)) {
        return false;
      }
      if (!published.get(i).at().isAfter(since)) {
        return true;
      }
    }
    return false;
  }
}
