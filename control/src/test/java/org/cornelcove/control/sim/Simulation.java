package org.cornelcove.control.sim;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.PlaceAttempt;
import org.cornelcove.model.command.ProposeConfiguration;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.message.TargetAnnouncement;
import org.cornelcove.model.resource.Resources;

/**
 * One run with three workers, three entries, six targets and an operator. Five batch jobs leave half of one worker
 * free, an urgent job evicts one of them, a running job is cancelled while another waits for its resources, and three
 * configurations are proposed. Faults are injected at given steps.
 */
final class Simulation {
    static final JobId OBSERVED = JobId.of("b1");

    private static final Resources HOST = Resources.of(4_000, 1L << 30, 1);
    static final long END_MS = 80_000;

    final Timeline time;
    final History history = new History();
    final ControlGroup group;
    final FakeOperator operator;
    final Mutant mutant;
    private final List<FakeWorker> workers = new ArrayList<>();
    private final List<FakeEntry> entries = new ArrayList<>();
    private final Map<Step, Fault> planned = new EnumMap<>(Step.class);
    private final Set<Step> reached = new TreeSet<>();
    private final Fault second;

    private Simulation(long seed, Mutant mutant, Step step, Fault first, Fault second) {
        this.time = new Timeline(seed);
        this.mutant = mutant;
        this.second = second;
        if (step != null) {
            planned.put(step, first);
        }
        group = new ControlGroup(time, mutant);
        group.observe(this::committed);
        workers.add(new FakeWorker(this, "w1", HOST, 0.99));
        workers.add(new FakeWorker(this, "w2", HOST, 1.01));
        workers.add(new FakeWorker(this, "w3", HOST, 1.0));
        for (int i = 1; i <= 3; i++) {
            entries.add(new FakeEntry(this, "e" + i, 0.98 + i * 0.01));
        }
        operator = new FakeOperator(this);
        planWork();
    }

    /** Runs without faults. */
    public static Simulation run(long seed, Mutant mutant) {
        return run(seed, mutant, null, null, null);
    }

    /** Runs with a fault when a step is first reached, and a second fault within 4 s if it is not null. */
    public static Simulation run(long seed, Mutant mutant, Step step, Fault first, Fault second) {
        Simulation sim = new Simulation(seed, mutant, step, first, second);
        sim.time.runUntil(END_MS);
        return sim;
    }

    private void planWork() {
        for (int i = 1; i <= 6; i++) {
            TargetAnnouncement target =
                    new TargetAnnouncement(TargetId.of("t" + i), "s", "10.0.0." + i + ":1", "z", 8, 60, 0, false);
            time.every(1_000, () -> announce(target));
        }
        time.after(500, () -> operator.propose(1));
        time.after(6_000, () -> operator.propose(2));
        time.after(12_000, () -> operator.propose(3));
        for (int i = 1; i <= 5; i++) {
            JobSpec job = job("b" + i, 2_000, 14_000, false);
            time.after(1_500 + i, () -> operator.submit(job));
        }
        time.after(5_000, () -> operator.submit(job("u1", 4_000, 4_000, true)));
        time.after(7_200, () -> operator.cancel(JobId.of("b4")));
        time.after(9_500, () -> operator.submit(job("b6", 4_000, 3_000, false)));
        for (int i = 0; i < 200; i++) {
            String key = "k" + i / 10;
            time.after(2_000 + i * 100L, () -> entries.get((int) time.between(0, 2))
                    .claim(key));
        }
    }

    private void announce(TargetAnnouncement target) {
        int first = time.random().nextInt(entries.size());
        for (int i = 0; i < entries.size(); i++) {
            if (entries.get((first + i) % entries.size()).announce(target)) {
                return;
            }
        }
    }

    private static JobSpec job(String name, long cpuMillicores, long runMs, boolean urgent) {
        Resources resources = Resources.of(cpuMillicores, 1 << 20, 0);
        return new JobSpec(JobId.of(name), "team", JobKind.BATCH, "cut", resources, runMs, urgent, "");
    }

    private void committed(Command command) {
        if (command instanceof PlaceAttempt) {
            reached(Step.PLACED, ((PlaceAttempt) command).attempt().job());
        } else if (command instanceof ProposeConfiguration) {
            reached(Step.COMMITTED, OBSERVED);
            time.after(300, () -> reached(Step.ACKNOWLEDGED, OBSERVED));
        }
    }

    void reached(Step step, JobId job) {
        if (!reached.add(step) || !planned.containsKey(step)) {
            return;
        }
        Fault first = planned.remove(step);
        time.after(0, () -> first.inject(this, job));
        if (second != null) {
            time.after(time.between(0, 4_000), () -> second.inject(this, job));
        }
    }

    public Set<Step> reached() {
        return reached;
    }

    FakeWorker anyWorker() {
        return workers.get(time.random().nextInt(workers.size()));
    }

    FakeEntry anyEntry() {
        return entries.get(time.random().nextInt(entries.size()));
    }

    List<Link> links() {
        List<Link> links = new ArrayList<>();
        workers.forEach(worker -> links.add(worker.link));
        entries.forEach(entry -> links.add(entry.link));
        links.add(operator.link);
        return links;
    }
}
