package org.cornelcove.bench.policy;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.cornelcove.bench.Benchmark;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.policy.place.PlacementDecision;
import org.cornelcove.policy.place.Placer;

/** One worker fails every attempt within a fifth of a second, while one job of fifty fails wherever it runs. */
public final class BlackHoleBenchmark implements Benchmark {
    private static final long SECOND_US = 1_000_000;
    private static final long END_US = 600 * SECOND_US;
    private static final long SETTLED_US = 30 * SECOND_US;
    private static final long TICK_US = 100_000;
    private static final long FAILURE_US = 200_000;
    private static final HostId BLACK_HOLE = HostId.of("w7");
    private static final double HOPELESS_SHARE = 0.02;
    private static final double LOAD = 0.7;
    private static final double MEAN_MILLICORES = 7000.0 / 3;
    private static final double MEAN_RUN_S = 20;
    private static final double MAX_SHARE = 0.01;

    @Override
    public String name() {
        return "blackhole";
    }

    @Override
    public String target() {
        return "one black-hole worker wins < 1% of starts after 30 s";
    }

    @Override
    public boolean run(PrintStream out) {
        boolean met = true;
        for (Site site : Site.ALL) {
            Run naive = new Run(site, true);
            Run ours = new Run(site, false);
            naive.run();
            ours.run();
            out.printf("blackhole %s: baseline emptiest host: %s%n", site.name(), naive);
            out.printf("blackhole %s: policy: %s%n", site.name(), ours);
            out.printf(
                    "blackhole %s: share of starts after 30 s %.4f (target < %.2f), baseline %.4f%n",
                    site.name(), ours.share(), MAX_SHARE, naive.share());
            met &= ours.share() < MAX_SHARE && ours.healthyQuarantined == 0;
        }
        return met;
    }

    /** One run of the same jobs through either side. */
    private static final class Run {
        private final Site site;
        private final boolean isNaive;
        private final EventLoop loop = new EventLoop();
        private final JobStream stream = new JobStream(71, 8, 12);
        private final Placer placer = Placer.of(RuleSet.empty());
        private final TreeMap<HostId, Resources> free = new TreeMap<>();
        private final Deque<JobSpec> queue = new ArrayDeque<>();
        private final Map<JobId, Long> runUs = new HashMap<>();
        private final Map<JobId, Integer> failures = new HashMap<>();
        private final Set<JobId> hopeless = new HashSet<>();
        private long starts;
        private long won;
        private long finished;
        private long givenUp;
        private long givenUpWrongly;
        private int healthyQuarantined;

        Run(Site site, boolean isNaive) {
            this.site = site;
            this.isNaive = isNaive;
        }

        void run() {
            Resources capacity = Resources.of(32_000, 125 * JobStream.GIB, 0);
            for (int i = 0; i < site.workers(); i++) {
                HostId host = HostId.of("w" + i);
                placer.putHost(host, site.zoneOf(i), "rack" + i / site.hostsPerRack(), capacity);
                free.put(host, capacity);
            }
            loop.at(0, this::tick);
            loop.runUntil(END_US);
        }

        private void tick() {
            double perTick = LOAD * site.workers() * 32_000 / MEAN_MILLICORES / MEAN_RUN_S * TICK_US / SECOND_US;
            for (double owed = perTick * 2 * stream.random().nextDouble(); owed >= 0.5; owed--) {
                submitNew();
            }
            decide();
            for (int i = 0; i < site.workers() && !isNaive; i++) {
                HostId host = HostId.of("w" + i);
                if (!host.equals(BLACK_HOLE) && placer.health().maxAttempts(host, loop.nowMs()) == 0) {
                    healthyQuarantined++;
                }
            }
            loop.after(TICK_US, this::tick);
        }

        private void submitNew() {
            JobSpec job = stream.batch(0.05, 0);
            runUs.put(job.id(), (long) (-Math.log(1 - stream.random().nextDouble()) * MEAN_RUN_S * SECOND_US));
            if (stream.random().nextDouble() < HOPELESS_SHARE) {
                hopeless.add(job.id());
            }
            submit(job);
        }

        private void submit(JobSpec job) {
            if (isNaive) {
                queue.add(job);
            } else {
                placer.submit(job, loop.nowMs());
            }
        }

        private void decide() {
            if (!isNaive) {
                for (PlacementDecision decision : placer.decide(loop.nowMs(), 1000)) {
                    if (decision instanceof PlacementDecision.Start start) {
                        start(start.job(), start.host());
                    }
                }
                return;
            }
            while (!queue.isEmpty()) {
                HostId emptiest = free.entrySet().stream()
                        .max((a, b) -> Long.compare(
                                a.getValue().cpuMillicores(), b.getValue().cpuMillicores()))
                        .orElseThrow()
                        .getKey();
                if (!queue.peek().resources().fitsIn(free.get(emptiest))) {
                    return;
                }
                free.merge(emptiest, queue.peek().resources(), Resources::minus);
                start(queue.poll(), emptiest);
            }
        }

        private void start(JobSpec job, HostId host) {
            if (loop.nowUs() >= SETTLED_US) {
                starts++;
                won += host.equals(BLACK_HOLE) ? 1 : 0;
            }
            boolean fails = host.equals(BLACK_HOLE) || hopeless.contains(job.id());
            loop.after(fails ? FAILURE_US : runUs.get(job.id()), () -> end(job, host, fails));
        }

        private void end(JobSpec job, HostId host, boolean failed) {
            if (isNaive) {
                free.merge(host, job.resources(), Resources::plus);
            } else {
                placer.ended(job.id(), failed ? AttemptEnd.FAILED : AttemptEnd.FINISHED, loop.nowMs());
            }
            if (!failed) {
                finished++;
                return;
            }
            int times = failures.merge(job.id(), 1, Integer::sum);
            boolean over = isNaive ? times >= 4 : placer.isHopeless(job.id());
            if (over) {
                givenUp++;
                givenUpWrongly += hopeless.contains(job.id()) ? 0 : 1;
                placer.forget(job.id(), loop.nowMs());
            } else {
                submit(job);
            }
        }

        double share() {
            return (double) won / Math.max(1, starts);
        }

        @Override
        public String toString() {
            return String.format(
                    "%d starts, %d at the black hole, %d finished, %d given up, %d of them wrongly, healthy in quarantine %d",
                    starts, won, finished, givenUp, givenUpWrongly, healthyQuarantined);
        }
    }
}
