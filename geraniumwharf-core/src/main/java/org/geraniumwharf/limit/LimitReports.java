package org.geraniumwharf.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import org.geraniumwharf.schema.messages.LimitReport;

/**
 * Limits as messages carry them: with their age, since the clocks of two processes have no common
 * origin.
 */
final class LimitReports {

  private static final double NO_LIMIT = 0;

  private LimitReports() {}

  static List<LimitReport> of(Collection<TargetLimit> limits, Instant now) {
    return limits.stream().map(limit -> of(limit, now)).toList();
  }

  private static LimitReport of(TargetLimit limit, Instant now) {
    return LimitReport.of(
        limit.target(),
        limit.incarnation(),
        limit.limit().requestsPerSecond().orElse(NO_LIMIT),
        Math.max(0, Duration.between(limit.since(), now).toMillis()));
  }

  static List<TargetLimit> read(List<LimitReport> reports, Instant now) {
    return reports.stream().map(report -> read(report, now)).toList();
  }

  private static TargetLimit read(LimitReport report, Instant now) {
    double rate = report.requestsPerSecond();
    return new TargetLimit(
        report.target(),
        report.incarnation(),
        rate > NO_LIMIT ? RequestLimit.of(rate) : RequestLimit.none(),
        now.minusMillis(report.ageMillis()));
  }
}
