package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cornelcove.work.job.RunEnd;
import org.cornelcove.work.job.TaskKey;
import org.cornelcove.work.lead.WorkerDriver.EndedRow;
import org.cornelcove.work.log.EventLog;
import org.cornelcove.work.state.Task;
import org.cornelcove.work.state.Verdict;
import org.cornelcove.work.state.WorkCommand;

/** Commits the ends of runs: those that workers report, and those that are inferred. Used on the leader's loop only. */
final class RunEnds {
    private record RunKey(TaskKey task, int runId) {}

    private final Term term;
    /** The runs whose end is proposed and not committed, each with what is to be done once it is. */
    private final Map<RunKey, List<Runnable>> uncommitted = new HashMap<>();

    RunEnds(Term term) {
        this.term = term;
    }

    /**
     * Ends a run that cannot be active any more and whose end its worker did not report.
     *
     * @param run the run
     * @param why what proves that it is not active, for the log
     */
    void lost(ActiveRun run, String why) {
        propose(run, RunEnd.LOST, "", why, () -> {});
    }

    /**
     * Handles an end that a worker lists; it is acknowledged once it is committed.
     *
     * @param worker the worker
     * @param row the end
     * @return the run if it has not ended before
     */
    Optional<ActiveRun> reported(Worker worker, EndedRow row) {
        Optional<ActiveRun> run = worker.run(row.task(), row.runId());
        if (row.number() <= worker.highestEnd) {
            return run;
        }
        worker.highestEnd = row.number();
        if (run.isEmpty()) {
            logUnknown(worker, row);
            List<Runnable> waiting = uncommitted.get(new RunKey(row.task(), row.runId()));
            if (waiting == null) {
                // The run was ended before, and its end is in the durable state.
                worker.endCommitted(row.number());
            } else {
                worker.pendingEnds.add(row.number());
                waiting.add(() -> acknowledge(worker, row));
            }
            return run;
        }
        long nowMs = term.clock.nowMs();
        if (row.how() == RunEnd.DONE) {
            worker.health.succeeded();
        } else if (row.how() == RunEnd.FAILED && !run.get().proven) {
            worker.recordFailure(row.task(), nowMs);
        }
        worker.pendingEnds.add(row.number());
        propose(run.get(), row.how(), row.checkpoint(), "", () -> acknowledge(worker, row));
        return run;
    }

    /** Checks whether the end of a run is proposed and not committed. */
    boolean pending(TaskKey task, int runId) {
        return uncommitted.containsKey(new RunKey(task, runId));
    }

    private void acknowledge(Worker worker, EndedRow row) {
        worker.endCommitted(row.number());
        term.calls.poll(worker, term.clock.nowMs());
    }

    private void propose(ActiveRun run, RunEnd how, String checkpoint, String why, Runnable onCommitted) {
        if (run.endProposed) {
            return;
        }
        run.endProposed = true;
        term.untrack(run);
        log(run, how, why);
        WorkCommand end = new WorkCommand.End(run.task, run.runId, how, checkpoint, term.clock.wallMs());
        RunKey key = new RunKey(run.task, run.runId);
        uncommitted.computeIfAbsent(key, any -> new ArrayList<>()).add(onCommitted);
        term.record(end, () -> true, result -> {
            if (!result.is(Verdict.DONE)) {
                EventLog.event(
                        "run.end.outcome", "task", run.task.text(), "run", run.runId, "how", how, "result", result);
            }
            if (!term.over() && result.verdict().isPresent()) {
                Optional.ofNullable(uncommitted.remove(key)).ifPresent(waiting -> waiting.forEach(Runnable::run));
                term.endCommitted(run, how);
            }
        });
    }

    private void log(ActiveRun run, RunEnd how, String why) {
        Worker worker = run.worker;
        if (how != RunEnd.LOST) {
            EventLog.event(
                    "run.end", "task", run.task.text(), "run", run.runId, "worker", worker.id, "how", how, "why", why);
            return;
        }
        EventLog.event(
                "run.end",
                "task",
                run.task.text(),
                "run",
                run.runId,
                "worker",
                worker.id,
                "how",
                how,
                "why",
                why,
                "born",
                worker.processStartMs,
                "stage",
                run.stage,
                "unanswered",
                run.unanswered,
                "heardMsAgo",
                term.clock.nowMs() - worker.lastContactMs);
    }

    private void logUnknown(Worker worker, EndedRow row) {
        Optional<Task> task = term.state.job(row.task().jobId()).flatMap(job -> job.task(row.task()));
        EventLog.event(
                "run.end.unknown",
                "task",
                row.task().text(),
                "run",
                row.runId(),
                "worker",
                worker.id,
                "born",
                worker.processStartMs,
                "how",
                row.how(),
                "active",
                task.flatMap(found -> found.run(row.runId())).isPresent(),
                "done",
                task.filter(Task::done).isPresent());
    }
}
