package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * An operator changes the manifest some hundred times; then all processes of the core are killed at
 * the same moment and started again. What was confirmed last must be read back.
 */
final class HundredsOfChanges {

  private static final int CHANGES = 500;

  /** The routes of one {@code big_config}, on top of those of a small installation. */
  private static final int ROUTES = 350 + 13;

  private static final double CONFIRMATION_SECONDS = 10;

  /** More than three times {@code recovery_s}. */
  private static final double READ_BACK_SECONDS = 40;

  private HundredsOfChanges() {}

  public static void main(String[] args) {
    Case.run(args, HundredsOfChanges::isBroken);
  }

  private static boolean isBroken(Record record, boolean hasTrouble)
      throws IOException, Case.NotRunException {
    try (Installation installation = Installation.start(record, 1)) {
      Operator operator = new Operator(record, installation);
      for (int version = 1; version <= CHANGES; version++) {
        if (operator.put(version, manifest(version), CONFIRMATION_SECONDS) != 200) {
          throw new Case.NotRunException("change " + version + " was not confirmed");
        }
      }
      if (hasTrouble) {
        installation.core().parallelStream().forEach(Installation.Machine::kill);
      }
      Http.Message read = operator.get(READ_BACK_SECONDS);
      for (Installation.Machine machine : installation.core()) {
        record.add(
            "%s ended by itself %d times, last error: %s",
            machine.name(), machine.exits(), machine.lastError());
      }
      boolean isNewest = read.status() == 200 && read.text().startsWith("{\"version\":" + CHANGES);
      return !isNewest;
    }
  }

  /** Each change sets another timeout of the first route. */
  private static String manifest(int version) {
    List<String> routes = new ArrayList<>();
    for (int i = 0; i < ROUTES; i++) {
      int timeoutMillis = i == 0 ? 1000 + version : 8000;
      String prefix = String.format("/cufi%03d/fi%d/", i, i % 7);
      routes.add(Manifests.route("r-2xp4z" + i, prefix, "streaming", timeoutMillis, Manifests.ENGINES));
    }
    List<String> tenants = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      tenants.add(Manifests.tenant("bozi30" + i, "jnbanfqasnmgkcuyj8p" + i, "bvk9m68k7b2ex5wa5xw" + i));
    }
    return Manifests.manifest(version, routes, tenants);
  }
}
