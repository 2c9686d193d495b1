package org.cornelcove.bench.policy;

import java.io.PrintStream;
import java.util.List;
import java.util.function.IntPredicate;

import org.cornelcove.bench.Benchmark;

/** One executor of ten fails everything at once; and, beyond the target, all of them do. */
public final class RetriesBenchmark implements Benchmark {
    private static final long SECOND_US = 1_000_000;
    private static final long END_US = 60 * SECOND_US;
    private static final double LOAD = 0.6;
    private static final double MAX_ADDED = 0.1;

    @Override
    public String name() {
        return "retries";
    }

    @Override
    public String target() {
        return "10% of targets failing: retries add < 10% load";
    }

    @Override
    public boolean run(PrintStream out) {
        boolean met = true;
        for (Site site : Site.ALL) {
            double added = run(site, "all fail", i -> true, out);
            met &= added < MAX_ADDED;
            added = run(site, "1 of 10 fails", i -> i % 10 == 3, out);
            met &= added < MAX_ADDED;
        }
        return met;
    }

    private static double run(Site site, String what, IntPredicate failing, PrintStream out) {
        CallMix quotes = new CallMix("app", "quote", 100_000, 0.5, 1, SECOND_US, 0);
        double perSecond = LOAD * site.slots() * 1e6 / quotes.meanRunUs();
        List<Call> calls = quotes.arrivals(t -> perSecond, perSecond, END_US, 41);
        ServiceRun run = new ServiceRun(site, 400, calls, failing);
        Tally naive = run.fifo(0, END_US, 2 * END_US);
        Tally policy = run.policy(0, END_US, 2 * END_US);
        out.printf(
                "retries %s, %s: in time %.4f, baseline %.4f%n",
                site.name(), what, policy.inTimeShare(), naive.inTimeShare());
        out.printf(
                "retries %s, %s: added load %.4f (target < %.1f), baseline %.4f%n",
                site.name(), what, policy.addedLoad(), MAX_ADDED, naive.addedLoad());
        return policy.addedLoad();
    }
}
