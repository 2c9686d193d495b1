package org.cornelcove.bench.policy;

import org.HdrHistogram.Histogram;

/** What came of the calls that arrived within a window. */
final class Tally {
    private final long fromUs;
    private final long toUs;
    /** Time to the answer of what was admitted; what was given up counts as answered at twice its deadline. */
    private final Histogram admittedUs = new Histogram(3);

    private final Histogram shortUs = new Histogram(3);
    private long inTime;
    private long late;
    private long refused;
    private long firstSends;
    private long retries;
    private double inTimeWorkUs;

    Tally(long fromUs, long toUs) {
        this.fromUs = fromUs;
        this.toUs = toUs;
    }

    void answered(Call call, long nowUs, long shortRunUs) {
        if (inWindow(nowUs) && nowUs - call.atUs() <= call.deadlineUs()) {
            inTimeWorkUs += call.runUs();
        }
        if (!inWindow(call.atUs())) {
            return;
        }
        long tookUs = nowUs - call.atUs();
        admittedUs.recordValue(tookUs);
        if (call.runUs() <= shortRunUs) {
            shortUs.recordValue(tookUs);
        }
        if (tookUs <= call.deadlineUs()) {
            inTime++;
        } else {
            late++;
        }
    }

    void givenUp(Call call) {
        if (inWindow(call.atUs())) {
            late++;
            admittedUs.recordValue(2 * call.deadlineUs());
            shortUs.recordValue(2 * call.deadlineUs());
        }
    }

    void refused(Call call) {
        if (inWindow(call.atUs())) {
            refused++;
        }
    }

    void sent(boolean first) {
        if (first) {
            firstSends++;
        } else {
            retries++;
        }
    }

    /** The share of the slots' time that went into answers within the deadline. */
    double usefulShare(int slots) {
        return inTimeWorkUs / ((double) slots * (toUs - fromUs));
    }

    double p99Ms() {
        return admittedUs.getValueAtPercentile(99) / 1000.0;
    }

    double shortP99Ms() {
        return shortUs.getValueAtPercentile(99) / 1000.0;
    }

    double addedLoad() {
        return (double) retries / Math.max(1, firstSends);
    }

    double inTimeShare() {
        return (double) inTime / Math.max(1, inTime + late + refused);
    }

    @Override
    public String toString() {
        return String.format(
                "in time %d, late or given up %d, refused %d, p99 %.0f ms", inTime, late, refused, p99Ms());
    }

    private boolean inWindow(long atUs) {
        return atUs >= fromUs && atUs < toUs;
    }
}
