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

/** Learns how fill work disturbs lasting tasks, and sets its pace. Used on the leader's loop only. */
final class PaceKeeper {
    /** Figures are about the last half second, so a new pace shows no sooner. */
    private static final long EVERY_MS = 450;
    /** Two looks further apart than this say nothing about each other. */
    private static final long MAX_APART_MS = 1500;
    /** A change of the processor in use below this share of a worker is noise. */
    private static final double LEAST_CHANGE = 0.02;
    /** Fill work that stood still for so long is moved, where it can take its progress along. */
    private static final long MOVE_AFTER_MS = 2500;

    /**
     * How long looks may show a lasting task over its target before all fill work beside it stops: with a look, a figure
     * of half a second and a pace that takes effect, below the four seconds that the platform allows.
     */
    private static final long LONGEST_OVER_MS = 1500;
    /** How long fill work stands still before a tail is the task's own: a pace, a figure, and a look. */
    private static final long PROOF_MS = 1300;

    private static final int NEARLY_STILL_PERCENT = 20;
    /** A place is worth a move where the work would take a lasting task at most so far to its target. */
    private static final double CALM_COST = 0.3;

    /** How often what was learned is kept; a few kilobytes each time. */
    private static final long KEEP_EVERY_MS = 3000;

    /** How often the places for each image of fill work are counted; lasting tasks move seldom. */
    private static final long COUNT_EVERY_MS = 1000;

    /** What a look at a worker showed. */
    private record Sample(long atMs, Map<String, Double> use, Map<ActiveRun, Double> tails) {}

    private final Term term;
    private final WorkerDriver driver;
    private final Interference interference = new Interference();
    private final Map<Worker, Sample> samples = new HashMap<>();
    private long keptMs;
    private Map<String, Double> scarcity = Map.of();
    private long countedMs = -COUNT_EVERY_MS;

    PaceKeeper(Term term, WorkerDriver driver) {
        this.term = term;
        this.driver = driver;
        interference.restore(term.state.learned());
    }

    /** Keeps what was learned where the next leader finds it. */
    void keepLearned(long nowMs) {
        if (samples.isEmpty() || nowMs - keptMs < KEEP_EVERY_MS) {
            return;
        }
        keptMs = nowMs;
        List<Interference.Pair> known = interference.summary();
        if (!known.isEmpty()) {
            term.proposals.add(new WorkCommand.Learned(known), result -> {});
        }
    }

    /**
     * Learns from the newest look at a worker, and sets the pace of the fill work there.
     *
     * @param worker the worker
     * @param nowMs the time on a monotonic clock
     * @return fill work that should move to another worker
     */
    List<ActiveRun> adjust(Worker worker, long nowMs) {
        if (worker.serving == 0 || nowMs - worker.pacedMs < EVERY_MS) {
            return List.of();
        }
        worker.pacedMs = nowMs;
        worker.forgetFit();
        learn(worker, nowMs);
        return worker.fills > 0 ? pace(worker, nowMs) : List.of();
    }

    /**
     * Sets the pace of fill work that has just begun by what is known of its image; its harm would else show only in the
     * next look, half a second later.
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
        if (before == null || nowMs - before.atMs > MAX_APART_MS) {
            return;
        }
        Map<String, Double> change = new HashMap<>(sample.use);
        before.use.forEach((image, use) -> change.merge(image, -use, Double::sum));
        change.values().removeIf(value -> Math.abs(value) < LEAST_CHANGE);
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
     * Returns how badly a fill task of a step would disturb the worker's lasting tasks.
     *
     * @param worker the worker
     * @param step the step
     * @return how badly a fill task of a step would disturb the worker's lasting tasks
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
        if (nowMs - countedMs >= COUNT_EVERY_MS) {
            countedMs = nowMs;
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
        noteOver(worker, nowMs);
        boolean stop = mustStop(worker, nowMs);
        if (stop) {
            Arrays.fill(percents, 0);
        }
        List<ActiveRun> moving = new ArrayList<>();
        for (int i = 0; i < percents.length; i++) {
            ActiveRun run = runs.get(i);
            if (percents[i] != run.pacePercent && run.stage == ActiveRun.Stage.CONFIRMED) {
                set(run, percents[i], stop ? "a lasting task is over its target for too long" : "known harm");
            }
            if (percents[i] > NEARLY_STILL_PERCENT) {
                run.pausedSinceMs = 0;
            } else if (run.pausedSinceMs == 0) {
                run.pausedSinceMs = nowMs;
            } else if (nowMs - run.pausedSinceMs > MOVE_AFTER_MS
                    && run.step.checkpointing()
                    && moving.isEmpty()
                    && term.placements().hasCalmPlace(run, CALM_COST)) {
                moving.add(run);
            }
        }
        return moving;
    }

    /** Remembers which tasks are over their target, for the next look. */
    private static void noteOver(Worker worker, long nowMs) {
        boolean stood = worker.fillStoppedMs > 0 && nowMs - worker.fillStoppedMs >= PROOF_MS;
        for (ActiveRun run : worker.runs()) {
            boolean over = hasTarget(run) && run.figure >= run.step.targetMs();
            run.overSinceMs = !over ? 0 : run.over() ? run.overSinceMs : nowMs;
            run.overByItself = over && (run.overByItself || stood);
        }
    }

    /**
     * Tells whether all fill work has to stand still: a lasting task was over its target so long that what is known of
     * the images does not explain it. Work that is harmless one by one may harm in numbers.
     */
    private static boolean mustStop(Worker worker, long nowMs) {
        boolean stop = false;
        for (ActiveRun run : worker.runs()) {
            stop |= run.over() && !run.overByItself && nowMs - run.overSinceMs >= LONGEST_OVER_MS;
        }
        if (!stop) {
            worker.fillStoppedMs = 0;
        } else if (worker.fillStoppedMs == 0) {
            worker.fillStoppedMs = nowMs;
        }
        return stop;
    }

    private void set(ActiveRun run, int percent, String why) {
        int before = run.pacePercent;
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
                        run.pacePercent = before;
                    }
                }));
    }
}
