/** Metrics of the daemon and their Prometheus text form. */
package org.geraniumwharf.internal.metrics;
