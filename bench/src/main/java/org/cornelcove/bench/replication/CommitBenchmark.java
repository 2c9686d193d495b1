package org.cornelcove.bench.replication;

import java.io.PrintStream;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.ConcurrentHistogram;
import org.cornelcove.bench.Benchmark;
import org.cornelcove.replication.ReplicaNode;

/**
 * Compares commits that share fsyncs with commits that don't, on three members with a disk each in one process. The
 * second is measured in two ways, the faster one counts: with the same number of commands under way but one fsync for
 * each, and with one command at a time.
 */
public final class CommitBenchmark implements Benchmark {
    private static final double WANTED_RATIO = 10;
    private static final int MEMBERS = 3;
    private static final int COMMAND_BYTES = 256;
    private static final int UNDER_WAY = 1024;
    private static final long WARM_UP_MS = 2000;
    private static final long MEASURED_MS = 5000;

    @Override
    public String name() {
        return "commit";
    }

    @Override
    public String target() {
        return "group commit on three members at least 10 times one fsync a command";
    }

    @Override
    public boolean run(PrintStream out) throws Exception {
        double single = measure(out, "one fsync a command, one at a time", 1, 1);
        double parallel = measure(out, "one fsync a command, " + UNDER_WAY + " under way", UNDER_WAY, 1);
        double grouped = measure(out, "group commit, " + UNDER_WAY + " under way", UNDER_WAY, Integer.MAX_VALUE);
        double ratio = grouped / Math.max(single, parallel);
        out.printf("commit: group commit is %.1f times one fsync a command, wanted %.0f%n", ratio, WANTED_RATIO);
        return ratio >= WANTED_RATIO;
    }

    private static double measure(PrintStream out, String what, int underWay, int maxBatch) throws Exception {
        try (LocalMembers members = LocalMembers.start(MEMBERS, s -> s.withMaxBatch(maxBatch))) {
            ReplicaNode leader = members.awaitLeader();
            leader.readBarrier().get();
            ConcurrentHistogram latencyUs = new ConcurrentHistogram(TimeUnit.MINUTES.toMicros(1), 3);
            load(leader, underWay, WARM_UP_MS, new ConcurrentHistogram(3));
            double perSecond = load(leader, underWay, MEASURED_MS, latencyUs);
            out.printf(
                    "%-40s %9.0f commands/s, p50 %6d us, p99 %6d us%n",
                    what, perSecond, latencyUs.getValueAtPercentile(50), latencyUs.getValueAtPercentile(99));
            return perSecond;
        }
    }

    private static double load(ReplicaNode leader, int underWay, long durationMs, ConcurrentHistogram latencyUs)
            throws InterruptedException {
        Semaphore free = new Semaphore(underWay);
        AtomicLong done = new AtomicLong();
        AtomicLong failed = new AtomicLong();
        long startNs = System.nanoTime();
        long endNs = startNs + TimeUnit.MILLISECONDS.toNanos(durationMs);
        while (System.nanoTime() < endNs) {
            free.acquire();
            long sentNs = System.nanoTime();
            leader.propose(new byte[COMMAND_BYTES]).whenComplete((result, failure) -> {
                latencyUs.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sentNs));
                (failure == null ? done : failed).incrementAndGet();
                free.release();
            });
        }
        free.acquire(underWay);
        if (failed.get() > 0) {
            throw new IllegalStateException(failed + " commands failed");
        }
        return done.get() / ((System.nanoTime() - startNs) / 1e9);
    }
}
