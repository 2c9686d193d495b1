package org.cornelcove.work.log;

import java.util.Map;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.UniformReservoir;

/**
 * Counters and latency histograms of this process, with a text format. Every event of the {@link EventLog} is counted,
 * including those whose line was dropped.
 */
public final class Metrics {
    private static final MetricRegistry REGISTRY = new MetricRegistry();
    private static final double P99 = 0.99;

    private Metrics() {}

    /**
     * Increments a counter.
     *
     * @param name the name of the counter
     */
    public static void count(String name) {
        REGISTRY.counter(name).inc();
    }

    /**
     * Records a latency.
     *
     * @param name the name of the histogram, without the suffix of the unit
     * @param ms the latency in milliseconds
     */
    public static void recordLatency(String name, long ms) {
        REGISTRY.histogram(name + "_ms", () -> new Histogram(new UniformReservoir()))
                .update(ms);
    }

    /**
     * Formats all metrics.
     *
     * @return one {@code name value} pair per line
     */
    public static String text() {
        StringBuilder text = new StringBuilder();
        REGISTRY.getCounters()
                .forEach((name, counter) ->
                        text.append(name).append(' ').append(counter.getCount()).append('\n'));
        for (Map.Entry<String, Histogram> entry : REGISTRY.getHistograms().entrySet()) {
            Snapshot values = entry.getValue().getSnapshot();
            String name = entry.getKey();
            text.append(name)
                    .append("_count ")
                    .append(entry.getValue().getCount())
                    .append('\n');
            text.append(name).append("_p50 ").append(values.getMedian()).append('\n');
            text.append(name).append("_p99 ").append(values.getValue(P99)).append('\n');
            text.append(name).append("_max ").append(values.getMax()).append('\n');
        }
        return text.toString();
    }
}
