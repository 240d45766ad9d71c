package org.geraniumwharf.internal.metrics;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.geraniumwharf.error.ErrorKind;
import org.junit.jupiter.api.Test;

class DaemonMetricsTest {

  @Test
  void should_count_refused_requests_by_kind() {
    DaemonMetrics metrics = DaemonMetrics.create();
    metrics.requestRefused(ErrorKind.UNAUTHENTICATED);
    metrics.requestRefused(ErrorKind.UNAUTHENTICATED);
    metrics.requestRefused(ErrorKind.NOT_FOUND);

    String text = metrics.prometheusText();

    assertTrue(text.contains("geraniumwharf_refused_total{kind=\"unauthenticated\"} 2\n"), text);
    assertTrue(text.contains("geraniumwharf_refused_total{kind=\"not-found\"} 1\n"), text);
  }
}
