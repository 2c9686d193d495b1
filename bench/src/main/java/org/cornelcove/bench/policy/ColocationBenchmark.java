package org.cornelcove.bench.policy;

import java.io.PrintStream;

import org.cornelcove.bench.Benchmark;

/**
 * An hour of batch work beside services that swing between a fifth and three quarters of each host, with reports that are
 * three seconds late. Batch alone runs the same jobs on the processors that the services leave at each instant, without
 * regard for them.
 */
public final class ColocationBenchmark implements Benchmark {
    private static final double MIN_THROUGHPUT = 0.9;
    private static final double MAX_SLOWDOWN = 1.5;
    private static final double MAX_EVICTIONS = 0.5;

    @Override
    public String name() {
        return "colocation";
    }

    @Override
    public String target() {
        return "batch >= 0.9 of batch alone on the spare capacity, service p99 <= 1.5 x undisturbed, evictions <= half";
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
        ColocationRun alone = new ColocationRun(site, ColocationRun.Side.ALONE).run();
        ColocationRun naive = new ColocationRun(site, ColocationRun.Side.NAIVE).run();
        ColocationRun ours = new ColocationRun(site, ColocationRun.Side.POLICY).run();
        out.printf("colocation %s: batch alone: %s%n", site.name(), alone);
        out.printf("colocation %s: baseline emptiest host, evict the largest: %s%n", site.name(), naive);
        out.printf("colocation %s: policy: %s%n", site.name(), ours);
        double throughput = ours.doneCoreSeconds() / alone.doneCoreSeconds();
        out.printf(
                "colocation %s: throughput %.3f (target %.1f, baseline %.3f), service p99 %.2f x (target %.1f, baseline %.2f), evictions %d (target <= %.0f)%n",
                site.name(),
                throughput,
                MIN_THROUGHPUT,
                naive.doneCoreSeconds() / alone.doneCoreSeconds(),
                ours.slowdownP99(),
                MAX_SLOWDOWN,
                naive.slowdownP99(),
                ours.evictions(),
                MAX_EVICTIONS * naive.evictions());
        return throughput >= MIN_THROUGHPUT
                && ours.slowdownP99() <= MAX_SLOWDOWN
                && ours.evictions() <= MAX_EVICTIONS * naive.evictions();
    }
}
