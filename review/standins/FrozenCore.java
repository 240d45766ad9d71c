package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Two of the five machines of the core freeze for some seconds, as many as may be lost. Meanwhile
 * an operator takes away a key. From {@code config_apply_ms} after the confirmation on no front
 * machine in touch may serve a request with it.
 */
final class FrozenCore {

  private static final int FRONTS = 6;
  private static final int ROUNDS = 5;
  private static final String PATH = "/puxa400/2f";
  private static final String KEPT_KEY = "bvk9m68k7b2ex5wa5xwy";
  private static final double SECONDS = 20;

  /** Length of a freeze; the days of the site have 7.2 s. */
  private static final double FREEZE_SECONDS = 7.2;

  /** Time from the freeze to the change. */
  private static final long CHANGE_MILLIS = 200;

  /** {@code contact_ms}: from then on after the freeze the machines that run are in touch. */
  private static final double CONTACT_SECONDS = 3.0;

  /** {@code config_apply_ms}. */
  private static final double APPLY_SECONDS = 2.0;

  private static final double MARGIN_SECONDS = 0.1;
  private static final long REQUEST_MILLIS = 50;

  /** {@code contact_ms} and {@code catch_up_s} after the end of a freeze. */
  private static final long CALM_MILLIS = 7200;

  private FrozenCore() {}

  public static void main(String[] args) {
    Case.run(args, FrozenCore::isBroken);
  }

  private static boolean isBroken(Record record, boolean hasTrouble)
      throws IOException, InterruptedException, Case.NotRunException {
    Set<String> ran = ConcurrentHashMap.newKeySet();
    try (Installation installation = Installation.start(record, FRONTS);
        Worker worker = Worker.application(record, installation, ran)) {
      Operator operator = new Operator(record, installation);
      put(operator, 1, SECONDS);
      List<Client> clients = new ArrayList<>();
      for (int i = 0; i < FRONTS; i++) {
        clients.add(new Client(record, installation.front(i).front(), "front-" + (i + 1)));
      }
      for (Client client : clients) {
        client.awaitServed(installation, PATH, KEPT_KEY, Map.of(), SECONDS);
      }
      boolean isBroken = false;
      for (int round = 1; round <= ROUNDS && !isBroken; round++) {
        isBroken = playRound(record, installation, operator, clients, ran, round, hasTrouble);
        Installation.sleep(CALM_MILLIS);
      }
      return isBroken;
    }
  }

  /** Freezes two neighbours of the core, takes a key away and asks every front machine. */
  private static boolean playRound(
      Record record,
      Installation installation,
      Operator operator,
      List<Client> clients,
      Set<String> ran,
      int round,
      boolean hasTrouble)
      throws IOException, InterruptedException, Case.NotRunException {
    List<Installation.Machine> frozen =
        List.of(
            installation.core().get(round % Installation.CORE_MACHINES),
            installation.core().get((round + 1) % Installation.CORE_MACHINES));
    if (hasTrouble) {
      for (Installation.Machine machine : frozen) {
        machine.freeze();
      }
    }
    double frozenAt = record.seconds();
    Installation.sleep(CHANGE_MILLIS);
    put(operator, round + 1, SECONDS);
    double confirmedAt = record.seconds();
    double from =
        Math.max(frozenAt + CONTACT_SECONDS, confirmedAt + APPLY_SECONDS) + MARGIN_SECONDS;
    boolean isBroken = false;
    while (record.seconds() < frozenAt + FREEZE_SECONDS - MARGIN_SECONDS) {
      if (record.seconds() < from) {
        Installation.sleep(REQUEST_MILLIS);
        continue;
      }
      for (Client client : clients) {
        Client.Answer answer =
            client.send("POST", PATH, key(round), Map.of(), Installation.bytes("book"));
        isBroken |= ran.contains(answer.id());
      }
      Installation.sleep(REQUEST_MILLIS);
    }
    if (hasTrouble) {
      for (Installation.Machine machine : frozen) {
        machine.thaw();
      }
    }
    return isBroken;
  }

  private static String key(int round) {
    return "jnbanfqasnmgkcuyj8p" + round;
  }

  /** Sends the manifest of a version: each takes one key of the first tenant away. */
  private static void put(Operator operator, int version, double seconds)
      throws Case.NotRunException {
    List<String> keys = new ArrayList<>();
    for (int round = version; round <= ROUNDS; round++) {
      keys.add(key(round));
    }
    String manifest =
        Manifests.manifest(
            version,
            List.of(Manifests.route("r-js2eek2", "/puxa400/", "unsafe", 1000)),
            List.of(
                Manifests.tenant("bozi300", keys.toArray(String[]::new)),
                Manifests.tenant("miru500", KEPT_KEY)));
    if (operator.put(version, manifest, seconds) != 200) {
      throw new Case.NotRunException("manifest " + version + " was not confirmed");
    }
  }
}
