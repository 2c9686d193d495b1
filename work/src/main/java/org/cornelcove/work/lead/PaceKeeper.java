package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.lead.WorkerDriver.Reply;
import org.cornelcove.work.log.EventLog;
import org.cornelcove.work.plan.Interference;
import org.cornelcove.work.plan.PaceControl;
import org.cornelcove.work.state.WorkCommand;

/** Learns how fill work disturbs lasting tasks, and sets the pace of fill work. Used on the leader's loop only. */
final class PaceKeeper {
    /** Interval of the adjustments; measurements cover the last half second, so a new pace has no earlier effect on them. */
    private static final long ADJUST_INTERVAL_MS = 450;
    /** Longest time between two polls whose measurements are compared. */
    private static final long MAX_SAMPLE_INTERVAL_MS = 1500;
    /** Smaller changes of the processor in use, as a share of the worker, are noise. */
    private static final double MIN_CHANGE = 0.02;
    /** Time after which almost paused fill work is moved to another worker, if it has checkpoints. */
    private static final long MOVE_AFTER_MS = 2500;

    /**
     * How long a lasting task may be over its target before all fill work beside it is paused. Together with a poll, a
     * measurement of half a second and the time for a pace to take effect, it stays below the four seconds that the platform
     * allows.
     */
    private static final long MAX_OVER_TARGET_MS = 1500;
    /**
     * How long all fill work has been paused before a tail latency over the target is attributed to the lasting task
     * itself: the time for a pace to take effect, a measurement and a poll.
     */
    private static final long OWN_LOAD_AFTER_MS = 1300;

    private static final int NEARLY_PAUSED_PERCENT = 20;
    /** Highest disturbance cost of a worker to which paused fill work is moved. */
    private static final double MAX_MOVE_COST = 0.3;

    /** Interval in which the learned harm is stored, a few kilobytes each time. */
    private static final long STORE_INTERVAL_MS = 3000;

    /** Interval in which the scarcity of workers for fill work is computed; lasting tasks seldom move. */
    private static final long SCARCITY_INTERVAL_MS = 1000;

    /** The measurements of one poll: processor in use by image of fill work, and tail latencies of lasting tasks. */
    private record Sample(long atMs, Map<String, Double> use, Map<ActiveRun, Double> tails) {}

    private final Term term;
    private final WorkerDriver driver;
    private final Interference interference = new Interference();
    private final Map<Worker, Sample> samples = new HashMap<>();
    private long storedMs;
    private Map<String, Double> scarcity = Map.of();
    private long scarcityAtMs = -SCARCITY_INTERVAL_MS;

    PaceKeeper(Term term, WorkerDriver driver) {
        this.term = term;
        this.driver = driver;
        interference.restore(term.state.interference());
    }

    /** Stores the learned harm in the durable state for the next leader. */
    void storeInterference(long nowMs) {
        if (samples.isEmpty() || nowMs - storedMs < STORE_INTERVAL_MS) {
            return;
        }
        storedMs = nowMs;
        List<Interference.Pair> known = interference.summary();
        if (!known.isEmpty()) {
            term.proposals.add(new WorkCommand.RecordInterference(known), result -> {});
        }
    }

    /**
     * Learns from the latest poll of a worker, and sets the pace of its fill work.
     *
     * @param worker the worker
     * @param nowMs the time on a monotonic clock
     * @return the fill work to move to another worker, at most one run
     */
    List<ActiveRun> adjust(Worker worker, long nowMs) {
        if (nowMs - worker.pacedMs < ADJUST_INTERVAL_MS || worker.serving == 0 && !hasPacedFill(worker)) {
            return List.of();
        }
        worker.pacedMs = nowMs;
        worker.clearFitCache();
        learn(worker, nowMs);
        return worker.fills > 0 ? pace(worker, nowMs) : List.of();
    }

    /** Checks whether fill work is not at full speed, which may be left over from a lasting task that has gone. */
    private static boolean hasPacedFill(Worker worker) {
        for (ActiveRun run : fillRuns(worker)) {
            if (run.pacePercent != PaceControl.FULL_PERCENT) {
                return true;
            }
        }
        return false;
    }

    /**
     * Sets the pace of fill work that has just started from the learned harm of its image; otherwise it would be slowed
     * only after the next poll, half a second later.
     *
     * @param run the run
     */
    void begun(ActiveRun run) {
        if (run.step.fill() && run.worker.serving > 0 && !run.stopWanted) {
            List<ActiveRun> runs = fillRuns(run.worker);
            int percent =
                    PaceControl.next(serving(run.worker), fills(run.worker, runs), interference)[runs.indexOf(run)];
            if (percent < run.pacePercent) {
                set(run, percent, "known harm");
            }
        }
    }

    private void learn(Worker worker, long nowMs) {
        double cpu = worker.info.orElseThrow().cpuMillis();
        Sample sample = new Sample(nowMs, new HashMap<>(), new HashMap<>());
        for (ActiveRun run : worker.runs()) {
            if (run.figure >= 0 && run.step.fill()) {
                sample.use.merge(run.step.image(), run.figure / cpu, Double::sum);
            } else if (run.figure > 0 && hasTarget(run)) {
                sample.tails.put(run, run.figure);
            }
        }
        Sample before = samples.put(worker, sample);
        if (before == null || nowMs - before.atMs > MAX_SAMPLE_INTERVAL_MS) {
            return;
        }
        Map<String, Double> change = new HashMap<>(sample.use);
        before.use.forEach((image, use) -> change.merge(image, -use, Double::sum));
        change.values().removeIf(value -> Math.abs(value) < MIN_CHANGE);
        if (!change.isEmpty()) {
            sample.tails.forEach((run, tail) -> {
                Double old = before.tails.get(run);
                if (old != null) {
                    interference.observe(run.step.image(), Math.log(tail / old), change);
                }
            });
        }
    }

    private static boolean hasTarget(ActiveRun run) {
        return run.step.lasting() && run.step.targetMs() > 0;
    }

    private static List<PaceControl.Serving> serving(Worker worker) {
        List<PaceControl.Serving> serving = new ArrayList<>();
        for (ActiveRun run : worker.runs()) {
            if (hasTarget(run) && run.figure > 0) {
                serving.add(new PaceControl.Serving(run.step.image(), run.figure / run.step.targetMs(), run.over()));
            }
        }
        return serving;
    }

    /**
     * Returns the cost of a fill task beside the worker's lasting tasks.
     *
     * @param worker the worker
     * @param step the step
     * @return the result of {@link PaceControl#cost}, above 1 if it would disturb them too much
     */
    double cost(Worker worker, StepSpec step) {
        String kind = step.image() + ' ' + step.cpuMillis();
        return worker.disturbances.computeIfAbsent(kind, any -> {
            double share = (double) step.cpuMillis()
                    / Math.max(1, worker.info.orElseThrow().cpuMillis());
            return PaceControl.cost(
                    serving(worker), fills(worker, fillRuns(worker)), step.image(), share, interference);
        });
    }

    /**
     * Returns how differently fill work disturbs the worker's lasting tasks and another one.
     *
     * @param worker the worker
     * @param step the step of the other one
     * @return from 0 if the same fill work disturbs them to 1
     */
    double sensitivityDifference(Worker worker, StepSpec step) {
        return worker.sensitivityDifference.computeIfAbsent(step.image(), image -> {
            double sum = 0;
            for (ActiveRun run : worker.runs()) {
                sum += hasTarget(run) ? interference.difference(image, run.step.image()) : 0;
            }
            return sum / Math.max(1, worker.serving);
        });
    }

    /**
     * Returns the share of the fill work, weighted by scarcity, that the worker's lasting tasks tolerate.
     *
     * @param worker the worker
     * @return from 0 to 1; 1 if they tolerate all fill work
     */
    double fillTolerance(Worker worker) {
        long nowMs = term.clock.nowMs();
        if (nowMs - scarcityAtMs >= SCARCITY_INTERVAL_MS) {
            scarcityAtMs = nowMs;
            scarcity = interference.scarcity(term.workers().stream()
                    .filter(w -> w.usable(nowMs) && w.serving > 0)
                    .map(PaceKeeper::servingImages)
                    .toList());
        }
        if (worker.fillTolerance < 0) {
            worker.fillTolerance = interference.fillTolerance(servingImages(worker), scarcity);
        }
        return worker.fillTolerance;
    }

    private static Set<String> servingImages(Worker worker) {
        Set<String> images = new HashSet<>();
        for (ActiveRun run : worker.runs()) {
            if (hasTarget(run)) {
                images.add(run.step.image());
            }
        }
        return images;
    }

    private static List<ActiveRun> fillRuns(Worker worker) {
        List<ActiveRun> runs = new ArrayList<>();
        if (worker.fills > 0) {
            for (ActiveRun run : worker.runs()) {
                if (run.step.fill() && !run.stopWanted) {
                    runs.add(run);
                }
            }
        }
        return runs;
    }

    private static List<PaceControl.Fill> fills(Worker worker, List<ActiveRun> runs) {
        double cpu = worker.info.orElseThrow().cpuMillis();
        List<PaceControl.Fill> fills = new ArrayList<>();
        for (ActiveRun run : runs) {
            fills.add(
                    new PaceControl.Fill(run.step.image(), run.step.cpuMillis() / cpu, Math.max(0, run.figure) / cpu));
        }
        return fills;
    }

    private List<ActiveRun> pace(Worker worker, long nowMs) {
        List<ActiveRun> runs = fillRuns(worker);
        List<PaceControl.Fill> fills = fills(worker, runs);
        int[] percents = PaceControl.next(serving(worker), fills, interference);
        updateOverTarget(worker, nowMs);
        boolean stop = mustPauseAll(worker, nowMs);
        if (stop) {
            Arrays.fill(percents, 0);
        }
        List<ActiveRun> moving = new ArrayList<>();
        for (int i = 0; i < percents.length; i++) {
            ActiveRun run = runs.get(i);
            if (percents[i] != run.pacePercent && run.stage == ActiveRun.Stage.CONFIRMED) {
                set(run, percents[i], stop ? "a lasting task is over its target for too long" : "known harm");
            }
            if (percents[i] > NEARLY_PAUSED_PERCENT) {
                run.pausedSinceMs = 0;
            } else if (run.pausedSinceMs == 0) {
                run.pausedSinceMs = nowMs;
            } else if (nowMs - run.pausedSinceMs > MOVE_AFTER_MS
                    && run.step.checkpointing()
                    && moving.isEmpty()
                    && term.placements().hasMoveTarget(run, MAX_MOVE_COST)) {
                moving.add(run);
            }
        }
        return moving;
    }

    /** Records which lasting tasks are over their target. */
    private static void updateOverTarget(Worker worker, long nowMs) {
        boolean paused = worker.fillStoppedMs > 0 && nowMs - worker.fillStoppedMs >= OWN_LOAD_AFTER_MS;
        for (ActiveRun run : worker.runs()) {
            boolean over = hasTarget(run) && run.figure >= run.step.targetMs();
            run.overSinceMs = !over ? 0 : run.over() ? run.overSinceMs : nowMs;
            run.overByOwnLoad = over && (run.overByOwnLoad || paused);
        }
    }

    /**
     * Checks whether all fill work has to be paused: a lasting task was over its target for so long that the learned harm of
     * the images does not explain it. Fill tasks that are harmless one by one may disturb a task together.
     */
    private static boolean mustPauseAll(Worker worker, long nowMs) {
        boolean stop = false;
        for (ActiveRun run : worker.runs()) {
            stop |= run.over() && !run.overByOwnLoad && nowMs - run.overSinceMs >= MAX_OVER_TARGET_MS;
        }
        if (!stop) {
            worker.fillStoppedMs = 0;
        } else if (worker.fillStoppedMs == 0) {
            worker.fillStoppedMs = nowMs;
        }
        return stop;
    }

    private void set(ActiveRun run, int percent, String why) {
        run.pacePercent = percent;
        EventLog.event(
                "run.pace",
                "task",
                run.task.text(),
                "run",
                run.runId,
                "worker",
                run.worker.id,
                "percent",
                percent,
                "why",
                why);
        driver.pace(run.worker.info.orElseThrow(), run.task, run.runId, percent, term.fence)
                .whenComplete((answer, thrown) -> term.clock.execute(() -> {
                    if (answer.reply() != Reply.OK) {
                        // It may have been carried out, or may be carried out after a later order.
                        run.pacePercent = ActiveRun.UNKNOWN_PACE;
                    }
                }));
    }
}
