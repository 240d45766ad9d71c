package org.geraniumwharf.internal.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.geraniumwharf.schema.messages.TargetWork;
import org.junit.jupiter.api.Test;

class ReportedLoadTest {

  private static final long SEEDS = 200;

  private final ReportedLoad load = new ReportedLoad();

  @Test
  void should_sum_the_load_of_all_other_daemons() {
    load.replace("entry-1", List.of(TargetWork.of("engine-1", 1, 100, 10)));
    load.replace("entry-2", List.of(TargetWork.of("engine-1", 2, 300, 0)));

    assertEquals(List.of(TargetWork.of("engine-1", 2, 300, 0)), load.allExcept("entry-1"));
    assertEquals(List.of(TargetWork.of("engine-1", 3, 400, 10)), load.allExcept("entry-3"));
  }

  @Test
  void should_forget_a_daemon_that_is_removed() {
    load.replace("entry-1", List.of(TargetWork.of("engine-1", 1, 100, 10)));
    load.remove("entry-1");
    load.remove("entry-1");

    assertEquals(List.of(), load.allExcept("entry-2"));
  }

  @Test
  void should_equal_the_sum_computed_anew_after_any_reports() {
    for (long seed = 0; seed < SEEDS; seed++) {
      compareWithSums(seed);
    }
  }

  private static void compareWithSums(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ReportedLoad table = new ReportedLoad();
    Map<String, List<TargetWork>> reports = new HashMap<>();
    for (int i = 0; i < 100; i++) {
      String daemon = "entry-" + random.nextInt(8);
      if (random.nextInt(5) == 0) {
        table.remove(daemon);
        reports.remove(daemon);
      } else {
        List<TargetWork> work = randomWork(random);
        table.replace(daemon, work);
        reports.put(daemon, work);
      }
    }

    assertEquals(
        requestsByTarget(reports, "entry-1"), requests(table.allExcept("entry-1")), "seed " + seed);
  }

  private static List<TargetWork> randomWork(SplittableRandom random) {
    List<TargetWork> work = new ArrayList<>();
    for (int target = 0; target < 6; target++) {
      if (random.nextBoolean()) {
        work.add(TargetWork.of("engine-" + target, 1 + random.nextInt(9), random.nextInt(9000), 5));
      }
    }
    return work;
  }

  private static Map<String, Integer> requestsByTarget(
      Map<String, List<TargetWork>> reports, String except) {
    Map<String, Integer> sums = new HashMap<>();
    reports.forEach(
        (daemon, work) -> {
          if (!daemon.equals(except)) {
            work.forEach(each -> sums.merge(each.target(), each.requests(), Integer::sum));
          }
        });
    return sums;
  }

  private static Map<String, Integer> requests(List<TargetWork> load) {
    Map<String, Integer> sums = new HashMap<>();
    load.forEach(each -> sums.put(each.target(), each.requests()));
    return sums;
  }
}
