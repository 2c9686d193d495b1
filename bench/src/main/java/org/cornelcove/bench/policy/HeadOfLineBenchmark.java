package org.cornelcove.bench.policy;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.cornelcove.bench.Benchmark;

/** Short work beside more long work than there is room for, with declared sizes wrong by ten times both ways. */
public final class HeadOfLineBenchmark implements Benchmark {
    private static final long SECOND_US = 1_000_000;
    private static final long END_US = 120 * SECOND_US;
    private static final long SHORT_RUN_MS = 500;
    private static final double[] SHORT_LOADS = {0.15, 0.3, 0.5};
    private static final double LONG_LOAD = 1.2;
    private static final double MAX_RATIO = 1.5;

    @Override
    public String name() {
        return "headofline";
    }

    @Override
    public String target() {
        return "p99 of short work behind long work <= 1.5 x its p99 alone";
    }

    @Override
    public boolean run(PrintStream out) {
        boolean met = true;
        for (Site site : Site.ALL) {
            for (double shortLoad : SHORT_LOADS) {
                met &= run(site, shortLoad, out);
            }
        }
        return met;
    }

    private static boolean run(Site site, double shortLoad, PrintStream out) {
        List<Call> alone =
                calls(site, new CallMix("foremen", "quick-list", 60_000, 0.5, 10, 5 * SECOND_US, 0.002), shortLoad, 31);
        List<Call> both = new ArrayList<>(alone);
        CallMix checks = new CallMix("stock", "long-check", 8 * SECOND_US, 0.6, 0.1, 90 * SECOND_US, 0);
        both.addAll(calls(site, checks, LONG_LOAD, 32));
        both.sort(Comparator.comparingLong(Call::atUs));
        double aloneMs = new ServiceRun(site, SHORT_RUN_MS, alone, i -> false)
                .policy(0, END_US, 2 * END_US)
                .shortP99Ms();
        ServiceRun run = new ServiceRun(site, SHORT_RUN_MS, both, i -> false);
        Tally fifo = run.fifo(0, END_US, 2 * END_US);
        Tally policy = run.policy(0, END_US, 2 * END_US);
        double ratio = policy.shortP99Ms() / aloneMs;
        out.printf(
                "headofline %s, short load %.2f: baseline FIFO: short p99 %.0f ms; %s%n",
                site.name(), shortLoad, fifo.shortP99Ms(), fifo);
        out.printf("headofline %s, short load %.2f: policy: %s%n", site.name(), shortLoad, policy);
        out.printf(
                "headofline %s, short load %.2f: short p99 %.0f ms behind long work, %.0f ms alone: %.2f (target %.1f), baseline %.1f%n",
                site.name(), shortLoad, policy.shortP99Ms(), aloneMs, ratio, MAX_RATIO, fifo.shortP99Ms() / aloneMs);
        return ratio <= MAX_RATIO;
    }

    private static List<Call> calls(Site site, CallMix mix, double load, long seed) {
        double perSecond = load * site.slots() * 1e6 / mix.meanRunUs();
        return mix.arrivals(t -> perSecond, perSecond, END_US, seed);
    }
}
