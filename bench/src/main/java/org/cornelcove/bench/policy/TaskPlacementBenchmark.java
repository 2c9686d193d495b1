package org.cornelcove.bench.policy;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.HdrHistogram.Histogram;
import org.cornelcove.bench.Benchmark;
import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.plan.HostView;
import org.cornelcove.work.plan.Placement;

/**
 * The decision which worker gets a task, at the sizes of today, of the grown sites and of two years from now: half of the
 * tasks are fill work, a quarter lasting, a quarter short, on workers that are mostly reserved. What is measured is the
 * processor time of each decision.
 */
public final class TaskPlacementBenchmark implements Benchmark {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int[] WORKERS = {45, 343, 1600};
    private static final int WARM_UP = 20_000;
    private static final int DECISIONS = 20_000;
    private static final long MAX_NS = 1_000_000;
    private static final int CPU_MILLIS = 32_000;

    @Override
    public String name() {
        return "tasks";
    }

    @Override
    public String target() {
        return "each decision which worker gets a task <= 1 ms with 45 workers (p99.9, processor time)";
    }

    @Override
    public boolean run(PrintStream out) {
        boolean met = true;
        for (int workers : WORKERS) {
            Histogram tookNs = measure(workers);
            out.printf(
                    "tasks, %d workers: p50 %d us, p99 %d us, p99.9 %d us, longest %d us%n",
                    workers,
                    tookNs.getValueAtPercentile(50) / 1000,
                    tookNs.getValueAtPercentile(99) / 1000,
                    tookNs.getValueAtPercentile(99.9) / 1000,
                    tookNs.getMaxValue() / 1000);
            met &= workers > WORKERS[0] || tookNs.getValueAtPercentile(99.9) <= MAX_NS;
        }
        return met;
    }

    private static Histogram measure(int workers) {
        Random random = new Random(workers);
        Histogram tookNs = new Histogram(3);
        for (int i = 0; i < WARM_UP + DECISIONS; i++) {
            List<HostView> hosts = new ArrayList<>(workers);
            for (int worker = 0; worker < workers; worker++) {
                hosts.add(host(random));
            }
            StepSpec step = step(random);
            long startNs = THREADS.getCurrentThreadCpuTime();
            Placement.choose(step, hosts, true);
            if (i >= WARM_UP) {
                tookNs.recordValue(THREADS.getCurrentThreadCpuTime() - startNs);
            }
        }
        return tookNs;
    }

    private static HostView host(Random random) {
        int free = random.nextInt(CPU_MILLIS / 4);
        return new HostView(
                free,
                random.nextInt(60_000),
                0,
                CPU_MILLIS,
                true,
                true,
                true,
                random.nextInt(3),
                random.nextInt(6),
                random.nextDouble(),
                random.nextDouble(),
                random.nextInt(CPU_MILLIS / 2),
                CPU_MILLIS - free,
                3 * random.nextDouble(),
                false,
                0);
    }

    private static StepSpec step(Random random) {
        boolean fill = random.nextBoolean();
        boolean lasts = !fill && random.nextBoolean();
        return new StepSpec(
                6,
                3000 + random.nextInt(3000),
                6000,
                0,
                1000,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                lasts,
                "image",
                lasts ? 50 : 0,
                fill,
                0);
    }
}
