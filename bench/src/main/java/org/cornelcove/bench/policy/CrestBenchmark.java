package org.cornelcove.bench.policy;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.cornelcove.bench.Benchmark;

/** Twice the capacity for half a minute: how much of the capacity goes into answers within the deadline. */
public final class CrestBenchmark implements Benchmark {
    private static final long SECOND_US = 1_000_000;
    private static final long WARM_US = 10 * SECOND_US;
    private static final long END_US = 40 * SECOND_US;
    private static final double CREST = 2;
    private static final double WARM = 0.6;
    private static final double MIN_SHARE = 0.9;
    private static final double MIN_RATIO = 3;

    @Override
    public String name() {
        return "crest";
    }

    @Override
    public String target() {
        return "at twice capacity, answers within the deadline >= 0.9 of capacity and >= 3 x FIFO";
    }

    @Override
    public boolean run(PrintStream out) {
        for (int waiting : new int[] {100, 1000, 10_000}) {
            out.printf(
                    "crest: processor time of the decisions on a request, %d waiting: %.2f us%n",
                    waiting, RequestCost.measureUs(waiting));
        }
        boolean met = true;
        for (Site site : Site.ALL) {
            met &= run(site, out);
        }
        return met;
    }

    private static boolean run(Site site, PrintStream out) {
        List<CallMix> mixes = List.of(
                new CallMix("app", "quote", 60_000, 0.4, 0.1, 800_000, 0),
                new CallMix("menders", "booking", 140_000, 0.5, 10, 1_500_000, 0));
        List<Call> calls = new ArrayList<>();
        for (int i = 0; i < mixes.size(); i++) {
            CallMix mix = mixes.get(i);
            double capacity = 0.5 * site.slots() * 1e6 / mix.meanRunUs();
            calls.addAll(mix.arrivals(t -> capacity * (t < WARM_US ? WARM : CREST), capacity * CREST, END_US, 7 + i));
        }
        calls.sort(Comparator.comparingLong(Call::atUs));
        ServiceRun run = new ServiceRun(site, 400, calls, i -> false);
        Tally fifo = run.fifo(WARM_US, END_US, END_US + 60 * SECOND_US);
        Tally policy = run.policy(WARM_US, END_US, END_US + 60 * SECOND_US);
        double share = policy.usefulShare(site.slots());
        double baseline = fifo.usefulShare(site.slots());
        out.printf("crest %s: baseline FIFO: %s; useful share %.3f%n", site.name(), fifo, baseline);
        out.printf("crest %s: policy: %s%n", site.name(), policy);
        out.printf(
                "crest %s: useful share of capacity %.3f (target %.1f), %.1f x baseline (target %.0f)%n",
                site.name(), share, MIN_SHARE, share / baseline, MIN_RATIO);
        return share >= MIN_SHARE && share >= MIN_RATIO * baseline;
    }
}
