package org.geraniumwharf.internal.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumwharf.schema.messages.TargetWork;

/**
 * Relayed load that the daemons report, with its sum by target. The sums are kept up to date, so
 * that an answer costs as much as there are targets under load, however many daemons there are.
 */
final class ReportedLoad {

  private static final TargetWork NO_LOAD = TargetWork.of("", 0, 0, 0);

  private final Map<String, List<TargetWork>> loadByDaemon = new HashMap<>();
  private final Map<String, TargetWork> totals = new HashMap<>();

  /** Replaces what a daemon reported before. */
  void replace(String daemon, List<TargetWork> load) {
    remove(daemon);
    loadByDaemon.put(daemon, load);
    load.forEach(work -> add(work, 1));
  }

  /** Removes a daemon whose reports have expired. */
  void remove(String daemon) {
    List<TargetWork> previous = loadByDaemon.remove(daemon);
    if (previous != null) {
      previous.forEach(work -> add(work, -1));
    }
  }

  void clear() {
    loadByDaemon.clear();
    totals.clear();
  }

  private void add(TargetWork work, int sign) {
    totals.compute(
        work.target(),
        (target, total) -> {
          TargetWork sum = sum(total == null ? NO_LOAD : total, work, sign);
          return sum.requests() == 0 && sum.tokens() == 0 ? null : sum;
        });
  }

  private static TargetWork sum(TargetWork total, TargetWork work, int sign) {
    return TargetWork.of(
        work.target(),
        total.requests() + sign * work.requests(),
        total.tokens() + sign * work.tokens(),
        total.backlogMillis() + sign * work.backlogMillis());
  }

  /** Returns the sum of the load of all daemons but one. */
  List<TargetWork> allExcept(String daemon) {
    Map<String, TargetWork> own = new HashMap<>();
    loadByDaemon.getOrDefault(daemon, List.of()).forEach(work -> own.put(work.target(), work));
    List<TargetWork> others = new ArrayList<>();
    totals.forEach(
        (target, total) -> {
          TargetWork mine = own.get(target);
          TargetWork rest = mine == null ? total : sum(total, mine, -1);
          if (rest.requests() > 0) {
            others.add(rest);
          }
        });
    return others;
  }
}
