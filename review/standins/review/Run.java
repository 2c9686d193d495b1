package review;

import java.util.Locale;

/** A run of a task on an executor. */
final class Run {
    final String task;
    final int number;
    final String executor;
    final long workMs;
    final int cpu;
    final int memoryMb;
    final long beginNs = System.nanoTime();
    volatile long endNs = Long.MAX_VALUE;
    volatile String how = "";
    /** Whether it ended as done and the end was taken note of before the executor's lease lapsed. */
    volatile boolean notedDone;

    Run(String task, int number, String executor, long workMs, int cpu, int memoryMb) {
        this.task = task;
        this.number = number;
        this.executor = executor;
        this.workMs = workMs;
        this.cpu = cpu;
        this.memoryMb = memoryMb;
    }

    boolean ended() {
        return endNs != Long.MAX_VALUE;
    }

    boolean overlaps(Run other) {
        return beginNs < other.endNs && other.beginNs < endNs;
    }

    long elapsedMs() {
        return (System.nanoTime() - beginNs) / 1_000_000;
    }

    @Override
    public String toString() {
        String end = ended() ? String.format(Locale.ROOT, "%.3f %s", Record.seconds(endNs), how) : "still running";
        return String.format(
                Locale.ROOT,
                "%s run %d on %s from %.3f to %s%s",
                task,
                number,
                executor,
                Record.seconds(beginNs),
                end,
                notedDone ? ", noted" : "");
    }
}
