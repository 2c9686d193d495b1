package org.cornelcove.daemon.api;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.zip.DataFormatException;

import org.HdrHistogram.Histogram;
import org.cornelcove.entry.RecordedHistogram;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.view.HistogramView;

/**
 * Merges the histograms of several entries bucket by bucket and computes the percentiles of the result. Percentiles of
 * entries cannot be merged: if one entry answers 99 requests in 1 ms and another one in 900 ms, the median of the two
 * is 1 ms, and any mean of the two medians is far off.
 */
final class HistogramMerge {
    private static final int DIGITS = 2;
    private static final double P50 = 50;
    private static final double P90 = 90;
    private static final double P99 = 99;

    private final SortedMap<String, Histogram> merged = new TreeMap<>();

    private HistogramMerge() {}

    /** Decodes the histograms of one entry. */
    static HistogramMerge of(List<RecordedHistogram> histograms) {
        HistogramMerge merge = new HistogramMerge();
        histograms.forEach(recorded -> merge.add(recorded.name(), decode(recorded)));
        return merge;
    }

    /** Merges the histograms of several entries. */
    static HistogramMerge of(Iterable<HistogramMerge> entries) {
        HistogramMerge merge = new HistogramMerge();
        entries.forEach(entry -> entry.merged.forEach(merge::add));
        return merge;
    }

    private void add(String name, Histogram histogram) {
        merged.computeIfAbsent(name, any -> new Histogram(DIGITS)).add(histogram);
    }

    private static Histogram decode(RecordedHistogram histogram) {
        try {
            return Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(histogram.compressed()), 0);
        } catch (DataFormatException | RuntimeException e) {
            throw Failure.of(ErrorKind.FRAME_MALFORMED, "histogram " + histogram.name())
                    .asException();
        }
    }

    List<HistogramView> views() {
        return merged.entrySet().stream()
                .map(named -> view(named.getKey(), named.getValue()))
                .toList();
    }

    private static HistogramView view(String name, Histogram histogram) {
        return new HistogramView(
                MetricsReport.withoutUnit(name),
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(P50),
                histogram.getValueAtPercentile(P90),
                histogram.getValueAtPercentile(P99),
                histogram.getMaxValue());
    }
}
