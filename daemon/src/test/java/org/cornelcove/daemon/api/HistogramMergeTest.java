package org.cornelcove.daemon.api;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import org.HdrHistogram.Histogram;
import org.cornelcove.entry.RecordedHistogram;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.model.view.HistogramView;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class HistogramMergeTest {
    private static final int DIGITS = 2;
    private static final long MAX_US = 60_000_000;

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14})
    void mergedHistogramsEqualOneHistogramOfAllValues(long seed) {
        Random random = new Random(seed);
        Histogram all = new Histogram(DIGITS);
        List<HistogramMerge> entries = new ArrayList<>();
        for (int entry = 0; entry < 5; entry++) {
            Histogram one = new Histogram(DIGITS);
            long spreadUs = 1 + (long) (random.nextDouble() * MAX_US);
            for (int i = random.nextInt(500); i > 0; i--) {
                long valueUs = (long) (random.nextDouble() * spreadUs);
                one.recordValue(valueUs);
                all.recordValue(valueUs);
            }
            entries.add(HistogramMerge.of(List.of(recorded("class.safe.latencyUs", one))));
        }
        HistogramView expected = new HistogramView(
                "class.safe.latency",
                all.getTotalCount(),
                all.getValueAtPercentile(50),
                all.getValueAtPercentile(90),
                all.getValueAtPercentile(99),
                all.getMaxValue());
        assertThat(HistogramMerge.of(entries).views(), is(List.of(expected)));
    }

    @Test
    void aFewSlowRequestsOfOneEntryDoNotMoveTheMedian() {
        Histogram fast = new Histogram(DIGITS);
        fast.recordValueWithCount(100, 990);
        Histogram slow = new Histogram(DIGITS);
        slow.recordValueWithCount(900_000, 10);
        HistogramView view = HistogramMerge.of(List.of(
                        HistogramMerge.of(List.of(recorded("l", fast))),
                        HistogramMerge.of(List.of(recorded("l", slow)))))
                .views()
                .get(0);
        assertThat(view.p50Us(), is(100L));
        assertThat(view.count(), is(1_000L));
        assertThat(view.maxUs(), is(slow.getMaxValue()));
    }

    @Test
    void histogramsOfDifferentNamesAreNotMerged() {
        Histogram one = new Histogram(DIGITS);
        one.recordValue(7);
        List<String> names = HistogramMerge.of(List.of(
                        HistogramMerge.of(List.of(recorded("tenant.b.latencyUs", one))),
                        HistogramMerge.of(List.of(recorded("tenant.a.latencyUs", one)))))
                .views()
                .stream()
                .map(HistogramView::name)
                .toList();
        assertThat(names, is(List.of("tenant.a.latency", "tenant.b.latency")));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 8, 20})
    void aDamagedHistogramIsATypedFailure(int lengthBytes) {
        RecordedHistogram damaged = new RecordedHistogram("l", new byte[lengthBytes]);
        FailureException thrown = assertThrows(FailureException.class, () -> HistogramMerge.of(List.of(damaged)));
        assertThat(thrown.failure().kind(), is(ErrorKind.FRAME_MALFORMED));
    }

    static RecordedHistogram recorded(String name, Histogram histogram) {
        ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
        int lengthBytes = histogram.encodeIntoCompressedByteBuffer(buffer);
        return new RecordedHistogram(name, Arrays.copyOf(buffer.array(), lengthBytes));
    }
}
