package org.cornelcove.daemon.api;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import org.cornelcove.model.view.HistogramView;

/** Exports the metrics of an entry as JSON messages and in the text format that collectors scrape. */
final class MetricsReport {
    private static final double US_PER_SECOND = TimeUnit.SECONDS.toMicros(1);
    /** The suffix in the name of each histogram of the entry; values are in microseconds. */
    private static final String UNIT_SUFFIX = "Us";

    private final MetricRegistry registry;

    private MetricsReport(MetricRegistry registry) {
        this.registry = registry;
    }

    static MetricsReport of(Optional<MetricRegistry> registry) {
        return new MetricsReport(registry.orElseGet(MetricRegistry::new));
    }

    List<HistogramView> histograms() {
        List<HistogramView> views = new ArrayList<>();
        registry.getHistograms().forEach((name, histogram) -> views.add(view(name, histogram)));
        return views;
    }

    private static HistogramView view(String name, Histogram histogram) {
        Snapshot snapshot = histogram.getSnapshot();
        return new HistogramView(
                withoutUnit(name),
                histogram.getCount(),
                Math.round(snapshot.getMedian()),
                Math.round(snapshot.getValue(0.9)),
                Math.round(snapshot.get99thPercentile()),
                snapshot.getMax());
    }

    /** Removes the unit suffix from a name, since the exported fields name their unit themselves. */
    static String withoutUnit(String name) {
        return name.endsWith(UNIT_SUFFIX) ? name.substring(0, name.length() - UNIT_SUFFIX.length()) : name;
    }

    /** Returns the counters and gauges by name, and the histograms. */
    MetricValues values() {
        return new MetricValues(numbers(), histograms());
    }

    /**
     * All metrics of an entry.
     *
     * @param numbers counters and gauges by name
     * @param histograms the histograms
     */
    record MetricValues(SortedMap<String, Long> numbers, List<HistogramView> histograms) {}

    private SortedMap<String, Long> numbers() {
        SortedMap<String, Long> numbers = new TreeMap<>();
        for (Map.Entry<String, Counter> counter : registry.getCounters().entrySet()) {
            numbers.put(counter.getKey(), counter.getValue().getCount());
        }
        for (Map.Entry<String, Gauge> gauge : registry.getGauges().entrySet()) {
            if (gauge.getValue().getValue() instanceof Number number) {
                numbers.put(gauge.getKey(), number.longValue());
            }
        }
        return numbers;
    }

    String text() {
        StringBuilder text = new StringBuilder();
        numbers()
                .forEach((name, value) ->
                        text.append(metricName(name)).append(' ').append(value).append('\n'));
        registry.getHistograms()
                .forEach((name, histogram) ->
                        appendSummary(text, metricName(withoutUnit(name)) + "_seconds", histogram));
        return text.toString();
    }

    private static void appendSummary(StringBuilder text, String name, Histogram histogram) {
        Snapshot snapshot = histogram.getSnapshot();
        text.append("# TYPE ").append(name).append(" summary\n");
        for (double quantile : new double[] {0.5, 0.9, 0.99, 0.999}) {
            double seconds = snapshot.getValue(quantile) / US_PER_SECOND;
            text.append(name)
                    .append("{quantile=\"")
                    .append(quantile)
                    .append("\"} ")
                    .append(seconds)
                    .append('\n');
        }
        text.append(name).append("_count ").append(histogram.getCount()).append('\n');
    }

    private static String metricName(String name) {
        return "cornelcove_" + name.replaceAll("[^A-Za-z0-9_]", "_");
    }
}
