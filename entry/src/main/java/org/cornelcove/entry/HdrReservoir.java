package org.cornelcove.entry;

import java.io.OutputStream;
import java.io.PrintWriter;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/**
 * Keeps all values since the start in an HdrHistogram, to two significant digits. Recording is wait-free; a snapshot
 * merges the values recorded since the previous one. A sampling reservoir was rejected, because it drops the rare slow
 * requests.
 */
final class HdrReservoir implements Reservoir {
    private static final int DIGITS = 2;

    private final Recorder recorder = new Recorder(DIGITS);
    private final Histogram total = new Histogram(DIGITS);
    private Histogram interval;

    @Override
    public int size() {
        return (int) Math.min(Integer.MAX_VALUE, getSnapshot().size());
    }

    @Override
    public void update(long value) {
        recorder.recordValue(Math.max(0, value));
    }

    @Override
    public Snapshot getSnapshot() {
        return new HdrSnapshot(copy());
    }

    private synchronized Histogram copy() {
        interval = recorder.getIntervalHistogram(interval);
        total.add(interval);
        return total.copy();
    }

    /** Returns all values since the start in HdrHistogram's compressed form. */
    byte[] compressed() {
        Histogram histogram = copy();
        ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
        int lengthBytes = histogram.encodeIntoCompressedByteBuffer(buffer);
        return Arrays.copyOf(buffer.array(), lengthBytes);
    }

    private static final class HdrSnapshot extends Snapshot {
        private static final double PERCENT = 100;
        private final Histogram histogram;

        private HdrSnapshot(Histogram histogram) {
            this.histogram = histogram;
        }

        @Override
        public double getValue(double quantile) {
            return histogram.getValueAtPercentile(quantile * PERCENT);
        }

        @Override
        public long[] getValues() {
            return new long[0];
        }

        @Override
        public int size() {
            return (int) Math.min(Integer.MAX_VALUE, histogram.getTotalCount());
        }

        @Override
        public long getMax() {
            return histogram.getMaxValue();
        }

        @Override
        public double getMean() {
            return histogram.getMean();
        }

        @Override
        public long getMin() {
            return histogram.getTotalCount() == 0 ? 0 : histogram.getMinValue();
        }

        @Override
        public double getStdDev() {
            return histogram.getStdDeviation();
        }

        @Override
        public void dump(OutputStream output) {
            PrintWriter out = new PrintWriter(output, true, StandardCharsets.UTF_8);
            histogram.recordedValues().forEach(v -> out.println(v.getValueIteratedTo()));
        }
    }
}
