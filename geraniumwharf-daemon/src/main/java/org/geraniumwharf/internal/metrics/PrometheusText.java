package org.geraniumwharf.internal.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/** Writes a metric registry in the Prometheus text form, durations in seconds. */
final class PrometheusText {

  private static final String PREFIX = "geraniumwharf_";
  private static final double NANOS_PER_SECOND = 1e9;

  private final StringBuilder text = new StringBuilder();
  private String lastFamily = "";

  private PrometheusText() {}

  static String of(MetricRegistry registry) {
    PrometheusText writer = new PrometheusText();
    registry
        .getCounters()
        .forEach((name, counter) -> writer.writeValue(name, "counter", counter.getCount()));
    registry
        .getGauges()
        .forEach((name, gauge) -> writer.writeValue(name, "gauge", gauge.getValue()));
    registry.getTimers().forEach(writer::writeTimer);
    return writer.text.toString();
  }

  private void writeValue(String name, String type, Object value) {
    int dot = name.indexOf('.');
    String family = PREFIX + (dot < 0 ? name : name.substring(0, dot));
    writeType(family, type);
    text.append(family);
    if (dot >= 0) {
      text.append("{kind=\"").append(name.substring(dot + 1)).append("\"}");
    }
    text.append(' ').append(value).append('\n');
  }

  private void writeTimer(String name, Timer timer) {
    String family = PREFIX + name + "_seconds";
    Snapshot snapshot = timer.getSnapshot();
    writeType(family, "summary");
    writeQuantile(family, "0.5", snapshot.getMedian());
    writeQuantile(family, "0.95", snapshot.get95thPercentile());
    writeQuantile(family, "0.99", snapshot.get99thPercentile());
    text.append(family).append("_count ").append(timer.getCount()).append('\n');
  }

  private void writeQuantile(String family, String quantile, double nanos) {
    text.append(family)
        .append("{quantile=\"")
        .append(quantile)
        .append("\"} ")
        .append(nanos / NANOS_PER_SECOND)
        .append('\n');
  }

  private void writeType(String family, String type) {
    if (!family.equals(lastFamily)) {
      text.append("# TYPE ").append(family).append(' ').append(type).append('\n');
      lastFamily = family;
    }
  }
}
