package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.cornelcove.work.job.WorkerInfo;
import org.cornelcove.work.log.EventLog;
import org.cornelcove.work.state.WorkCommand;

/**
 * The beginnings and ends of the incarnations of workers. Used on the leader's loop only.
 *
 * <p>An order names the id of a worker, not its incarnation. One that is sent, or still under way, while the worker starts
 * again under its id may be carried out by the later incarnation. So the end of the earlier one proves the end only of
 * those runs that a poll has listed there; the others are moved to the later one, of which a poll tells.
 */
final class Incarnations {
    private final Term term;
    private final Crashes crashes;

    Incarnations(Term term) {
        this.term = term;
        this.crashes = new Crashes(term);
    }

    /**
     * Adds the first known incarnation of a worker.
     *
     * @param info its first heartbeat
     * @return the worker, without that heartbeat
     */
    Worker register(WorkerInfo info) {
        Worker worker = new Worker(info.id(), info.processStartMs());
        term.put(worker);
        term.record(new WorkCommand.RecordWorker(info), () -> !worker.incarnationEnded, result -> {});
        EventLog.event("worker.new", "worker", info.id(), "born", info.processStartMs(), "address", info.address());
        return worker;
    }

    /**
     * Replaces a worker by its later incarnation under the same id.
     *
     * @param earlier the incarnation that has ended
     * @param info what is known of the later one
     * @return the later one; it gets no tasks before its first heartbeat is handled
     */
    Worker restarted(Worker earlier, WorkerInfo info) {
        // Its start time may be the lower one, which the state refuses beside the earlier incarnation.
        drop(earlier);
        Worker successor = register(info);
        successor.info = Optional.of(info.restartedAt(info.processStartMs()));
        successor.misdirectedUntilMs =
                Math.max(earlier.misdirectedUntilMs, Term.leaseEndMs(earlier.grantedMs, term.settings.maxLeaseMs()));
        end(earlier, "it restarted", Optional.of(successor));
        return successor;
    }

    /**
     * Ends an incarnation of a worker, of which nothing can run any more, and all its runs.
     *
     * @param worker the worker
     * @param why the reason for the log
     */
    void end(Worker worker, String why) {
        end(worker, why, Optional.empty());
    }

    /**
     * Handles the sign of another worker at the address of this one. It may be old: this one may have started again there
     * since, and have taken orders. So the runs that a later incarnation may have end only by a poll that is sent from now on.
     *
     * @param worker the worker
     * @param why the reason for the log
     */
    void replaced(Worker worker, String why) {
        if (!worker.hasUnlistedRuns()) {
            end(worker, why);
        } else if (!worker.replaced) {
            worker.replaced = true;
            worker.replacedMs = term.clock.nowMs();
            worker.holdDueMs = worker.replacedMs;
            term.calls.poll(worker, worker.replacedMs);
        }
    }

    private void drop(Worker worker) {
        term.record(new WorkCommand.DropWorker(worker.id, worker.processStartMs), () -> true, result -> {});
    }

    private void end(Worker worker, String why, Optional<Worker> successor) {
        if (worker.incarnationEnded) {
            return;
        }
        worker.incarnationEnded = true;
        if (successor.isEmpty()) {
            drop(worker);
        }
        EventLog.event(
                "worker.gone",
                "worker",
                worker.id,
                "born",
                worker.processStartMs,
                "runs",
                worker.runCount(),
                "why",
                why);
        boolean announcedEnd =
                worker.leaving || worker.info.filter(WorkerInfo::draining).isPresent();
        if (!announcedEnd) {
            crashes.record(worker);
        }
        List<ActiveRun> runs = new ArrayList<>();
        worker.runs().forEach(runs::add);
        for (ActiveRun run : runs) {
            if (successor.isPresent() && run.mayHaveReachedSuccessor()) {
                move(run, successor.get());
            } else {
                term.ends.lost(run, why);
            }
        }
        term.departures().acknowledge(worker);
    }

    private void move(ActiveRun run, Worker successor) {
        long nowMs = term.clock.nowMs();
        EventLog.event(
                "run.moved",
                "task",
                run.task.text(),
                "run",
                run.runId,
                "worker",
                successor.id,
                "born",
                successor.processStartMs,
                "stage",
                run.stage,
                "inDoubt",
                run.startInDoubt());
        run.worker.remove(run);
        run.moveTo(successor, nowMs);
        successor.add(run);
        // A poll refuses the orders of earlier leaders by its fence; one of this leader that is under way needs a stop.
        boolean orderUnderWay =
                run.stage == ActiveRun.Stage.STARTING || run.stage == ActiveRun.Stage.CONFIRMED && run.startInDoubt();
        if (orderUnderWay) {
            run.stage = ActiveRun.Stage.STARTING;
            run.doubtStart(nowMs);
            run.unanswered = Math.max(1, run.unanswered);
            run.confirmedMs = Long.MAX_VALUE;
            term.calls.requestStop(run);
        } else {
            run.stage = ActiveRun.Stage.INHERITED;
        }
    }
}
