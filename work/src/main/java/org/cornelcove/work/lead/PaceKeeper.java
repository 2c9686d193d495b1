package org.cornelcove.work.lead;

import org.cornelcove.work.lead.WorkerDriver.Reply;
import org.cornelcove.work.log.EventLog;
import org.cornelcove.work.plan.PaceControl;

/** Slows fill work beside lasting tasks that are near their target. Used on the leader's loop only. */
final class PaceKeeper {
    private final Term term;
    private final WorkerDriver driver;

    PaceKeeper(Term term, WorkerDriver driver) {
        this.term = term;
        this.driver = driver;
    }

    /** Sets the pace of the fill work on a worker by what the newest look showed. */
    void adjust(Worker worker, long nowMs) {
        if (worker.fills == 0 || worker.serving == 0) {
            return;
        }
        double worst = 0;
        for (ActiveRun run : worker.runs()) {
            if (run.step.lasting() && run.step.targetMs() > 0 && run.figure >= 0) {
                worst = Math.max(worst, run.figure / run.step.targetMs());
            }
        }
        for (ActiveRun run : worker.runs()) {
            if (run.step.fill() && run.stage == ActiveRun.Stage.CONFIRMED && !run.stopWanted) {
                int percent = PaceControl.next(run.pacePercent, worst);
                if (percent != run.pacePercent) {
                    set(run, percent, worst);
                }
            }
        }
    }

    private void set(ActiveRun run, int percent, double worst) {
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
                "worstShare",
                worst);
        driver.pace(run.worker.info.orElseThrow(), run.task, run.runId, percent, term.fence)
                .whenComplete((answer, thrown) -> term.clock.execute(() -> {
                    if (answer.reply() != Reply.OK) {
                        run.pacePercent = before;
                    }
                }));
    }
}
