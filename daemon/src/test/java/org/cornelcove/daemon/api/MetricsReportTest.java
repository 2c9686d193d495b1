package org.cornelcove.daemon.api;

import java.util.List;
import java.util.Optional;

import com.codahale.metrics.MetricRegistry;
import org.cornelcove.model.view.HistogramView;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

class MetricsReportTest {
    private final MetricRegistry registry = new MetricRegistry();
    private final MetricsReport report = MetricsReport.of(Optional.of(registry));

    MetricsReportTest() {
        registry.counter("requests.admitted").inc(3);
        registry.gauge("requests.refused.queue_full", () -> () -> 2L);
        for (int i = 1; i <= 100; i++) {
            registry.histogram("class.safe.latencyUs").update(i);
        }
    }

    @Test
    void histogramsAreShownInMicroseconds() {
        HistogramView view = report.histograms().get(0);
        assertThat(view.name(), is("class.safe.latency"));
        assertThat(List.of(view.count(), view.p50Us(), view.maxUs()), is(List.of(100L, 50L, 100L)));
    }

    @Test
    void valuesContainCountersAndGauges() {
        assertThat(report.values().numbers().get("requests.admitted"), is(3L));
        assertThat(report.values().numbers().get("requests.refused.queue_full"), is(2L));
    }

    @Test
    void theTextFormatHasSecondsAndCounts() {
        assertThat(report.text(), containsString("cornelcove_requests_admitted 3\n"));
        assertThat(report.text(), containsString("cornelcove_class_safe_latency_seconds_count 100\n"));
        assertThat(report.text(), containsString("quantile=\"0.5\"} 5.0E-5\n"));
    }
}
