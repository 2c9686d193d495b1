package org.cornelcove.policy.learn;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicBoolean;

import org.HdrHistogram.Histogram;

/**
 * Run times learned by service and kind of work.
 *
 * <p>Each kind keeps two histograms: one fills, the other holds the window before it. Estimates read both, so that the
 * figures follow a change of behaviour within two windows and never fall back to nothing in between. Declared sizes are
 * used only until {@link #MIN_SAMPLES} runs were seen, because users' figures are often wrong by a factor of ten. A
 * moving average was ruled out: queueing decisions need the tail, and an average of a mixed kind describes neither part.
 *
 * <p>The number of kinds is bounded. Beyond the bound all further kinds of a service share one record. Thread-safe;
 * reading an estimate takes no lock.
 */
public final class RunTimes {
    /** Runs of a kind before its declared size is no longer looked at. */
    public static final int MIN_SAMPLES = 8;

    private static final int MAX_KINDS = 4096;
    private static final String OTHER_KINDS = "";

    private final ConcurrentMap<Key, KindTimes> kinds = new ConcurrentHashMap<>();

    private RunTimes() {}

    /**
     * Returns an object that has learned nothing yet.
     *
     * @return the object
     */
    public static RunTimes create() {
        return new RunTimes();
    }

    /**
     * Learns from one run.
     *
     * @param service the service, or the team for jobs
     * @param kind the kind of work
     * @param runUs how long it ran, queueing excluded
     */
    public void record(String service, String kind, long runUs) {
        KindTimes times = kinds.get(new Key(service, kind));
        if (times == null) {
            times = add(service, kind);
        }
        times.record(Math.max(1, runUs));
    }

    /**
     * Returns what is known of a kind.
     *
     * @param service the service, or the team for jobs
     * @param kind the kind of work
     * @param declaredRunUs the size its submitter declared, used while too little was learned
     * @return the estimate
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
        /** Once a window was filled, an estimate is made anew less often. */
        private static final int SETTLED_SAMPLES = 64;

        private Histogram filling = new Histogram(2);
        /** Both windows, so that an estimate is read without adding them up. */
        private Histogram both = new Histogram(2);

        private volatile RunTimeEstimate estimate = RunTimeEstimate.declared(1);
        /** Set while a run is being recorded; guards the histograms. */
        private final AtomicBoolean recording = new AtomicBoolean();

        /** Records a run, unless another one is being recorded at this moment: the request path never waits here. */
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
