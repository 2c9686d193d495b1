package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.cornelcove.policy.quarantine.CrashBlame;
import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.job.WorkerInfo;
import org.cornelcove.work.plan.HostView;
import org.cornelcove.work.plan.Placement;

/** The workers that can take tasks of a step, with their state for the placement of such a task, in one pass. */
final class Candidates {
    private final Term term;
    private final StepSpec step;
    private final List<Worker> workers = new ArrayList<>();
    private final List<HostView> views = new ArrayList<>();

    Candidates(Term term, StepSpec step, TaskKey task, List<Worker> pool) {
        this.term = term;
        this.step = step;
        String rack = step.sameRack() ? rackOfStep(task) : "";
        for (Worker worker : pool) {
            if (worker.hasRoom(step) && !worker.awaitsTrial(step, term.clock.nowMs())) {
                workers.add(worker);
                views.add(view(term, worker, step, task, rack));
            }
        }
    }

    private String rackOfStep(TaskKey task) {
        for (ActiveRun run : term.runsOf(task.jobId())) {
            if (run.sameStep(task) && run.worker.info.isPresent()) {
                return run.worker.info.get().rack();
            }
        }
        return "";
    }

    Optional<Worker> best(boolean canWait) {
        OptionalInt best = Placement.choose(step, views, canWait);
        return best.isPresent() ? Optional.of(workers.get(best.getAsInt())) : Optional.empty();
    }

    /** Chooses the worker for a task that may crash it. */
    Optional<Worker> safest(boolean canWait) {
        List<CrashBlame.Room> choices = new ArrayList<>();
        for (int i = 0; i < workers.size(); i++) {
            Worker worker = workers.get(i);
            boolean eligible =
                    Placement.fits(step, views.get(i)) && (!canWait || Placement.canProgress(step, views.get(i)));
            long upMs = term.clock.wallMs() - worker.processStartMs;
            choices.add(new CrashBlame.Room(eligible, worker.suspects, upMs, worker.runCount()));
        }
        OptionalInt best = CrashBlame.choose(choices);
        return best.isPresent() ? Optional.of(workers.get(best.getAsInt())) : Optional.empty();
    }

    /** Updates a worker after a task of the step was placed on it. */
    void refresh(Worker worker, TaskKey task) {
        int index = workers.indexOf(worker);
        if (index >= 0 && worker.awaitsTrial(step, term.clock.nowMs())) {
            workers.remove(index);
            views.remove(index);
        } else if (index >= 0) {
            views.set(index, view(term, worker, step, task, ""));
        }
    }

    static HostView view(Term term, Worker worker, StepSpec step, TaskKey task, String rackOfStep) {
        WorkerInfo info = worker.info.orElseThrow();
        return new HostView(
                info.cpuMillis() - worker.cpuUsed,
                info.memoryMb() - worker.memoryUsed,
                info.accelerators() - worker.acceleratorsUsed,
                info.cpuMillis(),
                step.requiredLabel().isEmpty() || info.labels().contains(step.requiredLabel()),
                step.dataRack().isEmpty() || info.labels().contains(step.dataRack()),
                rackOfStep.isEmpty() || rackOfStep.equals(info.rack()),
                worker.runsOfStep(task),
                worker.serving,
                step.lasting() ? term.calls.pace().sensitivityDifference(worker, step) : 0,
                step.fill() ? term.calls.pace().fillTolerance(worker) : 0,
                worker.fillCpu,
                worker.servingCpu,
                step.fill() ? term.calls.pace().cost(worker, step) : 0,
                worker.failedTask(task),
                worker.health.failurePenalty(term.clock.nowMs()));
    }
}
