package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.List;

import org.cornelcove.policy.quarantine.CrashBlame;
import org.cornelcove.work.log.EventLog;
import org.cornelcove.work.log.Metrics;
import org.cornelcove.work.state.WorkCommand;

/**
 * Records which tasks are blamed for the crash of a worker. A crash is proved by a newer process in the place of one that
 * did not announce its end; silence alone proves nothing. Used on the leader's loop only.
 */
final class Crashes {
    private final Term term;

    Crashes(Term term) {
        this.term = term;
    }

    /** Proposes the blame for a crash; called before the ends of the worker's runs are proposed. */
    void record(Worker worker) {
        Metrics.count("worker.crashed");
        List<ActiveRun> runs = new ArrayList<>(worker.lapsedRuns);
        for (ActiveRun run : worker.runs()) {
            if (run.stage != ActiveRun.Stage.COMMITTING) {
                runs.add(run);
            }
        }
        long heardMs = heardMs(worker, runs);
        List<CrashBlame.Run> views = runs.stream()
                .map(run -> new CrashBlame.Run(run.crashes, run.aliveMs(heardMs)))
                .toList();
        CrashBlame.blamed(views).stream().mapToObj(runs::get).forEach(run -> blame(run, heardMs));
    }

    /** Returns when the worker was last known to be alive: when it was heard from, or had the newest of its runs. */
    private static long heardMs(Worker worker, List<ActiveRun> runs) {
        long heardMs = worker.lastContactMs;
        for (ActiveRun run : runs) {
            heardMs = Math.max(heardMs, run.runningSinceMs.orElse(heardMs));
        }
        return heardMs;
    }

    private void blame(ActiveRun run, long heardMs) {
        EventLog.event(
                "run.crashed",
                "task",
                run.task.text(),
                "run",
                run.runId,
                "worker",
                run.worker.id,
                "aliveMs",
                run.aliveMs(heardMs),
                "crashes",
                run.crashes + 1);
        WorkCommand crash = new WorkCommand.RecordCrash(run.task, run.runId, term.clock.wallMs());
        term.record(crash, () -> true, result -> {
            if (!term.over() && run.job.phase().ended()) {
                term.jobEnded(run);
            }
        });
    }
}
