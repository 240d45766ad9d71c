package org.geraniumwharf.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumwharf.schema.messages.TargetSpeed;

/**
 * Speeds of targets by the times that all instances measured, which the leader keeps. An instance
 * alone measures a target every few seconds only. Not safe for use by several threads.
 */
public final class SharedSpeeds {

  /** Without samples a target is tried again after about this time. */
  private static final Duration FORGETTING = Duration.ofSeconds(15);

  /** Differences from the usual speed below this are not sent. */
  private static final double MIN_LOG = Math.log(1.1);

  private static final double TENTHS = 10;

  private static final int MAX_TARGETS = 5000;

  private final Map<String, SpeedEstimate> speeds = new HashMap<>();

  private SharedSpeeds() {}

  public static SharedSpeeds create() {
    return new SharedSpeeds();
  }

  /** Adds what one instance measured since its last report. */
  public void record(List<TargetSpeed> measured, Instant now) {
    for (TargetSpeed one : measured) {
      if (one.weightTenths() > 0
          && (speeds.size() < MAX_TARGETS || speeds.containsKey(one.target()))) {
        speeds
            .computeIfAbsent(one.target(), target -> SpeedEstimate.forgettingAfter(FORGETTING))
            .record(one.percent() / 100.0, one.weightTenths() / TENTHS, now);
      }
    }
  }

  /** Returns the targets that are slower or faster than others. */
  public List<TargetSpeed> unusual(Instant now) {
    List<TargetSpeed> unusual = new ArrayList<>();
    speeds.forEach(
        (target, speed) -> {
          double log = speed.log(now);
          if (Math.abs(log) >= MIN_LOG) {
            unusual.add(TargetSpeed.of(target, 10, (int) Math.round(100 * Math.exp(log))));
          }
        });
    return unusual;
  }

  /** Removes targets that are not in the given set. */
  public void retainTargets(Set<String> targets) {
    speeds.keySet().retainAll(targets);
  }

  public void clear() {
    speeds.clear();
  }
}
