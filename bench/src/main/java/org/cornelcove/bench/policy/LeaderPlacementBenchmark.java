package org.cornelcove.bench.policy;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.HdrHistogram.Histogram;
import org.cornelcove.bench.Benchmark;
import org.cornelcove.control.leader.ControlLeader;
import org.cornelcove.control.state.ControlState;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.PlaceAttempt;
import org.cornelcove.model.command.ProposeConfiguration;
import org.cornelcove.model.command.Refused;
import org.cornelcove.model.command.RegisterWorker;
import org.cornelcove.model.command.SubmitJob;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.message.AttemptAction;
import org.cornelcove.model.message.AttemptOrder;
import org.cornelcove.model.message.AttemptReport;
import org.cornelcove.model.message.WorkerHeartbeat;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.wire.Codec;

/**
 * The running leader's own loop at the size of two years from now: the real state, the real leader's part and workers that
 * send heartbeats, with the log replaced by applying each command at once. Time is set by hand; what is measured is the
 * virtual time until a worker is told to start a job, and the processor time of the leader's thread.
 */
public final class LeaderPlacementBenchmark implements Benchmark {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int SECONDS = 60;
    private static final int WARM_SECONDS = 10;
    private static final long TICK_MS = 50;
    private static final long HEARTBEAT_MS = 500;
    private static final long PAUSE_FROM_MS = 35_000;
    private static final long PAUSE_MS = 1200;
    private static final long MAX_URGENT_MS = 1700;
    private static final double USED_SHARE = 0.6;

    @Override
    public String name() {
        return "leader";
    }

    @Override
    public String target() {
        return "500 jobs/s on 1,600 workers through the leader: urgent starts told <= 1.7 s at p99 with a leader change";
    }

    @Override
    public boolean run(PrintStream out) {
        for (int workers : new int[] {LargeSite.WORKERS / 4, LargeSite.WORKERS / 2}) {
            out.printf("leader, %d workers: %s%n", workers, new Run(workers).run());
        }
        Figures full = new Run(LargeSite.WORKERS).run();
        out.printf("leader, %d workers: %s%n", LargeSite.WORKERS, full);
        out.printf(
                "leader: urgent start p99 %d ms (target %d ms), refused placements %d%n",
                full.urgentMs.getValueAtPercentile(99), MAX_URGENT_MS, full.refused);
        return full.urgentMs.getValueAtPercentile(99) <= MAX_URGENT_MS;
    }

    private static final class Figures {
        private final Histogram urgentMs = new Histogram(3);
        private final Histogram otherMs = new Histogram(3);
        private final Histogram tickNs = new Histogram(3);
        private long tickSumNs;
        private long heartbeatSumNs;
        private long commitSumNs;
        private long starts;
        private long refused;
        private long gainedNs;

        @Override
        public String toString() {
            double seconds = SECONDS - WARM_SECONDS;
            return String.format(
                    "%d starts, urgent p50 %d p99 %d max %d ms, other p50 %d p99 %d ms, cores: regular work %.3f, heartbeats %.3f, of both commits %.3f; tick p50 %.2f p99 %.2f max %.2f ms, taking over %.0f ms",
                    starts,
                    urgentMs.getValueAtPercentile(50),
                    urgentMs.getValueAtPercentile(99),
                    urgentMs.getMaxValue(),
                    otherMs.getValueAtPercentile(50),
                    otherMs.getValueAtPercentile(99),
                    tickSumNs / 1e9 / seconds,
                    heartbeatSumNs / 1e9 / seconds,
                    commitSumNs / 1e9 / seconds,
                    tickNs.getValueAtPercentile(50) / 1e6,
                    tickNs.getValueAtPercentile(99) / 1e6,
                    tickNs.getMaxValue() / 1e6,
                    gainedNs / 1e6);
        }
    }

    /** An attempt on a worker. */
    private record Running(JobSpec job, long endsAtMs) {}

    /** One run of the same arrivals at a given size. */
    private static final class Run {
        private final int workers;
        private final Figures figures = new Figures();
        private final JobStream stream = new JobStream(61, 100, 40);
        private final Random random = new Random(62);
        private final ControlState state = ControlState.create();
        private final Map<JobId, Long> submittedMs = new HashMap<>();
        private final List<Map<AttemptId, Running>> running = new ArrayList<>();
        private ControlLeader leader;
        private long index;
        private long nowMs;
        private boolean leads;

        Run(int workers) {
            this.workers = workers;
            for (int i = 0; i < workers; i++) {
                running.add(new LinkedHashMap<>());
            }
        }

        Figures run() {
            apply(new ProposeConfiguration(1, "bench", "digest", LargeSite.rules()));
            fill();
            gain();
            double owed = 0;
            for (; nowMs < SECONDS * 1000L; nowMs += TICK_MS) {
                owed += (double) LargeSite.PER_SECOND * workers / LargeSite.WORKERS * TICK_MS / 1000;
                for (; owed >= 1; owed--) {
                    submit(stream.batch(0.1, 0.05));
                }
                changeLeader();
                beatWorkers();
                if (leads) {
                    tick();
                }
            }
            return figures;
        }

        private boolean isMeasured() {
            return nowMs >= WARM_SECONDS * 1000L;
        }

        private void gain() {
            long fromNs = THREADS.getCurrentThreadCpuTime();
            leader = ControlLeader.create(
                    state, () -> nowMs, this::commit, () -> CompletableFuture.completedFuture(index));
            leader.leadershipGained(1);
            leads = true;
            figures.gainedNs = THREADS.getCurrentThreadCpuTime() - fromNs;
        }

        private void changeLeader() {
            if (nowMs == PAUSE_FROM_MS) {
                leader.leadershipLost();
                leads = false;
            } else if (nowMs == PAUSE_FROM_MS + PAUSE_MS) {
                gain();
            }
        }

        private CompletableFuture<Outcome> commit(long term, Command command) {
            long fromNs = THREADS.getCurrentThreadCpuTime();
            Outcome outcome = apply(command);
            figures.commitSumNs += isMeasured() ? THREADS.getCurrentThreadCpuTime() - fromNs : 0;
            if (command instanceof PlaceAttempt && outcome instanceof Refused) {
                figures.refused++;
            }
            return CompletableFuture.completedFuture(outcome);
        }

        private Outcome apply(Command command) {
            return Codec.decode(state.apply(++index, Codec.encode(command)), Outcome.class);
        }

        private void fill() {
            for (int i = 0; i < workers; i++) {
                apply(new RegisterWorker(
                        LargeSite.host(i), 1, LargeSite.zone(i), LargeSite.rack(i), LargeSite.capacity(i)));
            }
            for (int i = 0; i < LargeSite.SERVICES * workers / LargeSite.WORKERS; i++) {
                place(stream.service("service" + i % 20, 1000, 4 * JobStream.GIB), i % workers);
            }
            for (int i = 0; i < LargeSite.BATCH * workers / LargeSite.WORKERS; i++) {
                place(stream.batch(0.1, 0), i % workers);
            }
        }

        private void place(JobSpec job, int worker) {
            apply(new SubmitJob(job));
            AttemptId attempt = AttemptId.of(job.id(), 1);
            if (apply(new PlaceAttempt(attempt, LargeSite.host(worker))) instanceof Refused) {
                return;
            }
            long runMs = (long) (2.0 * LargeSite.MEAN_RUN_MS * (1 - Math.sqrt(random.nextDouble())));
            running.get(worker).put(attempt, new Running(job, job.kind() == JobKind.SERVICE ? Long.MAX_VALUE : runMs));
        }

        private void submit(JobSpec job) {
            apply(new SubmitJob(job));
            submittedMs.put(job.id(), nowMs);
        }

        private void tick() {
            long fromNs = THREADS.getCurrentThreadCpuTime();
            leader.tick();
            if (isMeasured()) {
                long tookNs = THREADS.getCurrentThreadCpuTime() - fromNs;
                figures.tickSumNs += tookNs;
                figures.tickNs.recordValue(tookNs);
            }
        }

        /** Every tenth worker sends its heartbeat at each tick. */
        private void beatWorkers() {
            int turns = (int) (HEARTBEAT_MS / TICK_MS);
            for (int i = (int) (nowMs / TICK_MS % turns); i < workers && leads; i += turns) {
                WorkerHeartbeat heartbeat = heartbeat(i);
                long fromNs = THREADS.getCurrentThreadCpuTime();
                List<AttemptOrder> orders =
                        leader.workerHeartbeat(heartbeat).join().orders();
                figures.heartbeatSumNs += isMeasured() ? THREADS.getCurrentThreadCpuTime() - fromNs : 0;
                for (AttemptOrder order : orders) {
                    follow(order, running.get(i));
                }
            }
        }

        private WorkerHeartbeat heartbeat(int worker) {
            List<AttemptReport> reports = new ArrayList<>();
            running.get(worker).forEach((id, attempt) -> reports.add(report(id, attempt)));
            return new WorkerHeartbeat(
                    LargeSite.host(worker),
                    1,
                    LargeSite.zone(worker),
                    LargeSite.rack(worker),
                    LargeSite.capacity(worker),
                    false,
                    reports);
        }

        private AttemptReport report(AttemptId id, Running attempt) {
            Resources amount = attempt.job.resources();
            return AttemptReport.of(
                    id,
                    Math.round(amount.cpuMillicores() * USED_SHARE),
                    Math.round(amount.memoryBytes() * USED_SHARE),
                    TICK_MS,
                    Optional.empty(),
                    nowMs >= attempt.endsAtMs ? Optional.of(AttemptEnd.FINISHED) : Optional.empty(),
                    "");
        }

        private void follow(AttemptOrder order, Map<AttemptId, Running> here) {
            if (order.action() == AttemptAction.FORGET || order.action() == AttemptAction.STOP) {
                here.remove(order.attempt());
            }
            order.spec().ifPresent(spec -> start(order.attempt(), spec, here));
        }

        private void start(AttemptId attempt, JobSpec job, Map<AttemptId, Running> here) {
            long runMs = 1 + (long) (2.0 * LargeSite.MEAN_RUN_MS * random.nextDouble());
            if (here.putIfAbsent(attempt, new Running(job, nowMs + runMs)) != null) {
                return;
            }
            Long sinceMs = submittedMs.remove(job.id());
            if (sinceMs != null && isMeasured()) {
                figures.starts++;
                (job.urgent() ? figures.urgentMs : figures.otherMs).recordValue(nowMs - sinceMs);
            }
        }
    }
}
