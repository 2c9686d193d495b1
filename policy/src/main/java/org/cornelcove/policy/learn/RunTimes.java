package org.cornelcove.policy.learn;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicBoolean;

import org.HdrHistogram.Histogram;

/**
 * Run-time statistics by service and kind of work.
 *
 * <p>Each kind has two histograms: the current window, and the current together with the previous window. Estimates use
 * the latter, so they follow a change of behaviour within two windows and never lack samples in between. Declared run
 * times are used only until {@link #MIN_SAMPLES} runs were recorded, because declared values are often wrong by a factor
 * of ten. A moving average was rejected: queueing decisions need the tail of the distribution, and the average of a mixed
 * kind describes none of its parts.
 *
 * <p>The number of kinds is limited. Above the limit, all further kinds of a service share one record. Thread-safe;
 * reading an estimate takes no lock.
 */
public final class RunTimes {
    /** Number of recorded runs of a kind from which its declared run time is ignored. */
    public static final int MIN_SAMPLES = 8;

    private static final int MAX_KINDS = 4096;
    private static final String OTHER_KINDS = "";

    private final ConcurrentMap<Key, KindTimes> kinds = new ConcurrentHashMap<>();

    private RunTimes() {}

    /**
     * Returns empty statistics.
     *
     * @return statistics without any kind of work
     */
    public static RunTimes create() {
        return new RunTimes();
    }

    /**
     * Records one run. The sample is dropped if another thread is recording a run of the same kind.
     *
     * @param service the service, or the team for jobs
     * @param kind the kind of work
     * @param runUs the run time in microseconds, without queueing
     */
    public void record(String service, String kind, long runUs) {
        KindTimes times = kinds.get(new Key(service, kind));
        if (times == null) {
            times = add(service, kind);
        }
        times.record(Math.max(1, runUs));
    }

    /**
     * Returns the run-time estimate of a kind.
     *
     * @param service the service, or the team for jobs
     * @param kind the kind of work
     * @param declaredRunUs the declared run time in microseconds, used while there are too few samples
     * @return the estimate; its sample count is 0 if it is the declared run time
     */
    public RunTimeEstimate estimate(String service, String kind, long declaredRunUs) {
        KindTimes times = kinds.get(new Key(service, kind));
        if (times == null) {
            times = kinds.get(new Key(service, OTHER_KINDS));
        }
        if (times == null || times.estimate.samples() < MIN_SAMPLES) {
            return RunTimeEstimate.declared(Math.max(1, declaredRunUs));
        }
        return times.estimate;
    }

    private KindTimes add(String service, String kind) {
        String name = kinds.size() < MAX_KINDS ? kind : OTHER_KINDS;
        return kinds.computeIfAbsent(new Key(service, name), k -> new KindTimes());
    }

    private record Key(String service, String kind) {}

    private static final class KindTimes {
        private static final int WINDOW_SAMPLES = 512;
        private static final int REFRESH_SAMPLES = 16;
        /** Refresh interval after the first full window, in samples. */
        private static final int SETTLED_SAMPLES = 64;

        private Histogram filling = new Histogram(2);
        /** Samples of the previous and the current window, so that no sum is needed for an estimate. */
        private Histogram both = new Histogram(2);

        private volatile RunTimeEstimate estimate = RunTimeEstimate.declared(1);
        /** True while a run is being recorded; guards the histograms. */
        private final AtomicBoolean recording = new AtomicBoolean();

        /** Records a run, or drops it if another one is being recorded, so that the request path never blocks here. */
        void record(long runUs) {
            if (recording.compareAndSet(false, true)) {
                add(runUs);
                recording.set(false);
            }
        }

        private void add(long runUs) {
            filling.recordValue(runUs);
            both.recordValue(runUs);
            long count = filling.getTotalCount();
            boolean first = both.getTotalCount() == count;
            if (first && count <= REFRESH_SAMPLES || count % (first ? REFRESH_SAMPLES : SETTLED_SAMPLES) == 0) {
                refresh();
            }
            if (count >= WINDOW_SAMPLES) {
                both = filling.copy();
                filling.reset();
            }
        }

        private void refresh() {
            estimate = new RunTimeEstimate(
                    both.getTotalCount(),
                    Math.round(both.getMean()),
                    both.getValueAtPercentile(50),
                    both.getValueAtPercentile(90),
                    both.getValueAtPercentile(99));
        }
    }
}
