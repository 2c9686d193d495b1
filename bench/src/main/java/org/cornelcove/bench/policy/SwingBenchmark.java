package org.cornelcove.bench.policy;

import java.io.PrintStream;
import java.util.List;

import org.cornelcove.bench.Benchmark;

/** A tenfold swing within two seconds: whether what was admitted is answered in time. */
public final class SwingBenchmark implements Benchmark {
    private static final long SECOND_US = 1_000_000;
    private static final long RISE_US = 15 * SECOND_US;
    private static final long TOP_US = 17 * SECOND_US;
    private static final long FALL_US = 27 * SECOND_US;
    private static final long END_US = 40 * SECOND_US;
    private static final double LOW = 0.13;
    private static final double HIGH = 1.3;
    private static final long DEADLINE_US = 800_000;

    @Override
    public String name() {
        return "swing";
    }

    @Override
    public String target() {
        return "tenfold swing within 2 s: p99 of admitted quotes within the deadline";
    }

    @Override
    public boolean run(PrintStream out) {
        boolean met = true;
        for (Site site : Site.ALL) {
            met &= run(site, out);
        }
        return met;
    }

    private static boolean run(Site site, PrintStream out) {
        CallMix quotes = new CallMix("app", "quote", 100_000, 0.5, 0.1, DEADLINE_US, 0);
        double capacity = site.slots() * 1e6 / quotes.meanRunUs();
        List<Call> calls = quotes.arrivals(t -> capacity * load(t), capacity * HIGH, END_US, 23);
        ServiceRun run = new ServiceRun(site, 400, calls, i -> false);
        Tally fifo = run.fifo(RISE_US, END_US, END_US + 60 * SECOND_US);
        Tally policy = run.policy(RISE_US, END_US, END_US + 60 * SECOND_US);
        out.printf("swing %s: baseline FIFO: %s%n", site.name(), fifo);
        out.printf("swing %s: policy: %s%n", site.name(), policy);
        out.printf(
                "swing %s: p99 of admitted %.0f ms (target %d), baseline %.0f ms; in time %.3f of all, baseline %.3f%n",
                site.name(),
                policy.p99Ms(),
                DEADLINE_US / 1000,
                fifo.p99Ms(),
                policy.inTimeShare(),
                fifo.inTimeShare());
        return policy.p99Ms() <= DEADLINE_US / 1000.0;
    }

    private static double load(long atUs) {
        if (atUs < RISE_US || atUs >= FALL_US) {
            return LOW;
        }
        double risen = Math.min(1, (double) (atUs - RISE_US) / (TOP_US - RISE_US));
        return LOW + risen * (HIGH - LOW);
    }
}
