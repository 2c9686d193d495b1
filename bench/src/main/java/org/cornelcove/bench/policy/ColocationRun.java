package org.cornelcove.bench.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.HdrHistogram.Histogram;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.message.AttemptAction;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.policy.evict.BatchAttempt;
import org.cornelcove.policy.evict.BatchOrder;
import org.cornelcove.policy.evict.BatchThrottler;
import org.cornelcove.policy.evict.EvictionBudget;
import org.cornelcove.policy.evict.HostLoad;
import org.cornelcove.policy.place.PlacementDecision;
import org.cornelcove.policy.place.Placer;

/** One hour in steps of a second: load of services, progress of batch work, late reports, and one side's decisions. */
final class ColocationRun {
    /** Whose decisions are followed. */
    enum Side {
        /** Batch work without regard for services. */
        ALONE,
        /** Emptiest host first; on overload the largest attempts are stopped and start again at once. */
        NAIVE,
        /** The decisions of {@code policy}. */
        POLICY
    }

    private static final int SECONDS = 3600;
    private static final int LAG_S = 3;
    private static final int CHECKPOINT_S = 60;
    private static final long CAPACITY = 32_000;
    private static final long SERVICE_DECLARED = 16_000;
    private static final int WAITING = 300;
    private static final String[] SERVICES = {"front", "back"};
    /** Share added to each service's run time at the crest by each kind of batch work. */
    private static final double[][] ADDED = {{0, 0.05, 0.7, 0, 0.1, 0.02}, {0, 0.05, 0, 0.6, 0.1, 0.02}};
    /** Measured use over declared use, by kind. */
    private static final double[] USE = {1.0, 0.6, 1.0, 0.9, 1.4, 1.1};

    private final Site site;
    private final Side side;
    private final JobStream stream = new JobStream(81, 8, ADDED[0].length);
    private final Random random = new Random(82);
    private final Placer placer;
    private final BatchThrottler throttler =
            BatchThrottler.of(EvictionBudget.of(BatchRule.DEFAULT.evictionsPerMinute()));
    private final List<Machine> machines = new ArrayList<>();
    private final Map<JobId, Task> tasks = new HashMap<>();
    private final Deque<JobSpec> queue = new ArrayDeque<>();
    private final Histogram slowdownPercent = new Histogram(3);
    private double done;
    private double lost;
    private long finished;
    private long evictions;
    private int nowS;

    ColocationRun(Site site, Side side) {
        this.site = site;
        this.side = side;
        this.placer = Placer.of(RuleSet.empty());
        for (int i = 0; i < site.workers(); i++) {
            machines.add(new Machine(HostId.of("w" + i), i % SERVICES.length));
            placer.putHost(
                    HostId.of("w" + i),
                    site.zoneOf(i),
                    "rack" + i / site.hostsPerRack(),
                    Resources.of(CAPACITY, 125 * JobStream.GIB, 0));
            JobSpec service = stream.service(SERVICES[i % SERVICES.length], SERVICE_DECLARED, 16 * JobStream.GIB);
            placer.restore(service, HostId.of("w" + i), 0);
        }
    }

    ColocationRun run() {
        for (nowS = 0; nowS < SECONDS; nowS++) {
            submit();
            place();
            machines.forEach(this::step);
            if (side != Side.ALONE) {
                machines.forEach(this::report);
            }
        }
        return this;
    }

    double doneCoreSeconds() {
        return done - lost;
    }

    double slowdownP99() {
        return slowdownPercent.getValueAtPercentile(99) / 100.0;
    }

    long evictions() {
        return evictions;
    }

    @Override
    public String toString() {
        return String.format(
                "%.0f core seconds done, %.0f lost, %d finished, %d evictions, service slowdown p50 %.2f p99 %.2f",
                done, lost, finished, evictions, slowdownPercent.getValueAtPercentile(50) / 100.0, slowdownP99());
    }

    private void submit() {
        int waiting = side == Side.NAIVE ? queue.size() : placer.waiting();
        for (; waiting < WAITING; waiting++) {
            JobSpec job = stream.batch(0, 0);
            double coreSeconds =
                    job.resources().cpuMillicores() / 1000.0 * (10 - 120 * Math.log(1 - random.nextDouble()));
            tasks.put(job.id(), new Task(job, coreSeconds));
            enqueue(job);
        }
    }

    private void enqueue(JobSpec job) {
        if (side == Side.NAIVE) {
            queue.add(job);
        } else {
            placer.submit(job, nowS * 1000L);
        }
    }

    private void place() {
        if (side == Side.NAIVE) {
            placeNaively();
            return;
        }
        for (PlacementDecision decision : placer.decide(nowS * 1000L, 1000)) {
            if (decision instanceof PlacementDecision.Start start) {
                machine(start.host()).add(tasks.get(start.job().id()));
            }
        }
    }

    private void placeNaively() {
        while (!queue.isEmpty()) {
            Machine emptiest = machines.stream()
                    .min(Comparator.comparingLong(m -> m.declared))
                    .orElseThrow();
            long limit = CAPACITY - CAPACITY * BatchRule.DEFAULT.serviceReservePercent() / 100;
            if (emptiest.declared + queue.peek().resources().cpuMillicores() > limit) {
                return;
            }
            emptiest.add(tasks.get(queue.poll().id()));
        }
    }

    private Machine machine(HostId id) {
        return machines.get(Integer.parseInt(id.value().substring(1)));
    }

    /** A crest of forty seconds every three minutes, risen within two seconds, a little different on each host. */
    private double serviceMillicores(Machine machine) {
        int phase = nowS % 180;
        double crest = phase < 100 || phase >= 140 ? 0 : Math.min(1, (phase - 99) / 2.0);
        double jitter = 0.95 + 0.1 * random.nextDouble();
        return CAPACITY * jitter * (0.2 + 0.54 * crest + 0.02 * machine.service);
    }

    private void step(Machine machine) {
        double services = serviceMillicores(machine);
        double batch = machine.batchMillicores();
        double share = Math.min(1, CAPACITY / Math.max(1, services + batch));
        if (side == Side.ALONE) {
            share = Math.min(1, (CAPACITY - services) / Math.max(1, batch));
        }
        double slowdown = Math.max(1, (services + batch) / CAPACITY) * machine.interference(services / CAPACITY);
        slowdownPercent.recordValueWithCount(Math.round(slowdown * 100), Math.round(services / 1000));
        machine.reports.add(new Report(
                nowS,
                services,
                slowdown,
                machine.running.stream()
                        .map(t -> t.asAttempt(nowS, placer.disturbance(t.job.id())))
                        .toList()));
        for (Task task : List.copyOf(machine.running)) {
            double progress = Math.min(task.left, task.millicores() * share / 1000);
            task.left -= progress;
            done += progress;
            task.unsaved += progress;
            if ((nowS - task.startedS) % CHECKPOINT_S == CHECKPOINT_S - 1) {
                task.unsaved = 0;
                task.savedS = nowS;
            }
            if (task.left <= 0) {
                finished++;
                end(machine, task, AttemptEnd.FINISHED);
            }
        }
    }

    private void report(Machine machine) {
        if (machine.reports.size() <= LAG_S) {
            return;
        }
        Report report = machine.reports.poll();
        if (side == Side.NAIVE) {
            evictNaively(machine, report);
            return;
        }
        HostLoad load = new HostLoad(
                machine.id,
                Resources.of(CAPACITY, 125 * JobStream.GIB, 0),
                Resources.of(Math.round(report.services), 0, 0),
                report.atS * 1000L,
                report.batch);
        double busy = report.services / CAPACITY;
        double net = report.slowdown / Math.max(1, load.pressure());
        placer.measured(machine.id, SERVICES[machine.service], busy, net, report.atS * 1000L);
        for (BatchOrder order : throttler.decide(load, nowS * 1000L)) {
            machine.find(order.attempt()).ifPresent(task -> follow(machine, task, order.action()));
        }
        placer.setOpenForBatch(machine.id, throttler.isOpenForBatch(machine.id));
    }

    private void follow(Machine machine, Task task, AttemptAction action) {
        task.throttled = action == AttemptAction.THROTTLE;
        placer.setThrottled(task.job.id(), task.throttled, nowS * 1000L);
        if (action == AttemptAction.EVICT) {
            evictions++;
            task.unsaved = 0;
            end(machine, task, AttemptEnd.EVICTED);
            enqueue(task.job);
        }
    }

    private void evictNaively(Machine machine, Report report) {
        if (report.atS < machine.evictedS) {
            return;
        }
        double pressure = report.services
                + report.batch.stream()
                        .mapToLong(BatchAttempt::usedCpuMillicores)
                        .sum();
        List<Task> largestFirst = machine.running.stream()
                .sorted(Comparator.comparingDouble(Task::millicores).reversed())
                .toList();
        for (Task task : largestFirst) {
            if (pressure <= CAPACITY) {
                return;
            }
            pressure -= task.millicores();
            machine.evictedS = nowS + 1;
            evictions++;
            lost += task.unsaved;
            task.left += task.unsaved;
            end(machine, task, AttemptEnd.EVICTED);
            enqueue(task.job);
        }
    }

    private void end(Machine machine, Task task, AttemptEnd how) {
        machine.running.remove(task);
        machine.declared -= task.job.resources().cpuMillicores();
        task.throttled = false;
        task.unsaved = 0;
        if (side != Side.NAIVE) {
            placer.ended(task.job.id(), how, nowS * 1000L);
        }
    }

    private record Report(int atS, double services, double slowdown, List<BatchAttempt> batch) {}

    /** One host. */
    private final class Machine {
        private final HostId id;
        private final int service;
        private final List<Task> running = new ArrayList<>();
        private final Deque<Report> reports = new ArrayDeque<>();
        private long declared = SERVICE_DECLARED;
        /** Reports from before the last eviction are not acted upon. */
        private int evictedS;

        Machine(HostId id, int service) {
            this.id = id;
            this.service = service;
        }

        void add(Task task) {
            task.startedS = nowS;
            task.savedS = nowS;
            task.attempt++;
            running.add(task);
            declared += task.job.resources().cpuMillicores();
        }

        double batchMillicores() {
            return running.stream().mapToDouble(Task::millicores).sum();
        }

        /** The more the services do and the less the disturbing work is throttled, the more it disturbs them. */
        double interference(double busy) {
            double[] byKind = new double[ADDED[0].length];
            for (Task task : running) {
                double rate = task.throttled ? BatchThrottler.THROTTLED_SHARE : 1;
                byKind[task.kind()] = Math.max(byKind[task.kind()], rate * ADDED[service][task.kind()]);
            }
            double sum = 0;
            for (double added : byKind) {
                sum += added;
            }
            return 1 + sum * Math.min(1, busy / 0.75);
        }

        Optional<Task> find(AttemptId attempt) {
            return running.stream().filter(t -> t.attemptId().equals(attempt)).findFirst();
        }
    }

    /** One job with its progress. */
    private static final class Task {
        private final JobSpec job;
        private double left;
        private double unsaved;
        private int attempt;
        private int startedS;
        private int savedS;
        private boolean throttled;

        Task(JobSpec job, double left) {
            this.job = job;
            this.left = left;
        }

        int kind() {
            return Integer.parseInt(job.task().substring("kind".length()));
        }

        double millicores() {
            double full = job.resources().cpuMillicores() * USE[kind()];
            return throttled ? full * BatchThrottler.THROTTLED_SHARE : full;
        }

        AttemptId attemptId() {
            return AttemptId.of(job.id(), attempt);
        }

        BatchAttempt asAttempt(int atS, double disturbance) {
            return new BatchAttempt(
                    attemptId(),
                    Math.round(millicores()),
                    0,
                    job.resources().memoryBytes(),
                    (atS - savedS) * 1000L,
                    false,
                    throttled,
                    disturbance);
        }
    }
}
