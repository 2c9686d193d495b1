package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.cornelcove.work.job.RunEnd;
import org.cornelcove.work.lead.WorkerDriver.Answer;
import org.cornelcove.work.lead.WorkerDriver.EndedRow;
import org.cornelcove.work.lead.WorkerDriver.HoldOrder;
import org.cornelcove.work.lead.WorkerDriver.Look;
import org.cornelcove.work.lead.WorkerDriver.Reply;
import org.cornelcove.work.lead.WorkerDriver.RunningRow;
import org.cornelcove.work.lead.WorkerDriver.StartOrder;
import org.cornelcove.work.log.EventLog;
import org.cornelcove.work.state.Task;
import org.cornelcove.work.state.Verdict;
import org.cornelcove.work.state.WorkCommand;

/**
 * What a leader and its workers say to each other: starts, stops, looks. Used on the leader's loop only.
 *
 * <p>A start without an answer may be carried out seconds later. It is sent again as the same run, which the worker knows
 * by its number; after a few tries it is stopped, and a run that was stopped before it came is refused. Only a look that
 * was sent after the worker's answer, and lists the run neither as running nor as ended, shows that there is none.
 */
final class Conversation {
    /** Start orders without an answer before the run is given up there. */
    private static final int MAX_UNANSWERED_STARTS = 3;
    /** Pause before an order is sent again. */
    private static final long RETRY_MS = 150;
    /** Pause before a worker that does not answer a look is asked again. */
    private static final long SILENT_RETRY_MS = 300;
    /** How long a worker may wait for an end before it answers a look; half of the time in which leases are renewed. */
    private static final long LOOK_WAIT_MS = 1500;
    /** The same where fill work stands beside a lasting task: figures are half a second old anyway. */
    private static final long MIXED_LOOK_WAIT_MS = 500;
    /** A task whose progress stands still for so long stands on a bad worker; a slow one moves in this time. */
    private static final long STALL_MS = 3500;
    /** A lasting task that isn't at work so long after its start is started elsewhere. */
    private static final long STARTUP_MS = 5000;

    private static final int AT_WORK_PERCENT = 100;

    private final Term term;
    private final WorkerDriver driver;
    private final PaceKeeper pace;

    Conversation(Term term, WorkerDriver driver) {
        this.term = term;
        this.driver = driver;
        this.pace = new PaceKeeper(term, driver);
    }

    // Starts

    PaceKeeper pace() {
        return pace;
    }

    void start(ActiveRun run) {
        if (term.over() || run.endProposed || run.worker.gone) {
            return;
        }
        if (run.stopWanted && run.unanswered == 0) {
            proposeEnd(run, RunEnd.LOST, "", "not wanted any more");
            return;
        }
        long nowMs = term.clock.nowMs();
        if (!term.clock.leased()) {
            term.clock.later(RETRY_MS, () -> start(run));
            return;
        }
        OptionalLong deadline = run.worker.deadline(nowMs, term.settings.leaseMs());
        if (deadline.isEmpty() || run.worker.info.isEmpty()) {
            proposeEnd(run, RunEnd.LOST, "", "its worker is not known");
            return;
        }
        run.stage = ActiveRun.Stage.STARTING;
        Task task = run.job.task(run.task).orElseThrow();
        StartOrder order = new StartOrder(
                run.task, run.runId, run.job.spec().taskText(), task.checkpoint(), deadline.getAsLong(), term.fence);
        driver.start(run.worker.info.get(), order)
                .whenComplete((answer, thrown) -> term.clock.execute(() -> started(run, answer)));
    }

    private void started(ActiveRun run, Answer answer) {
        if (term.over() || run.endProposed) {
            return;
        }
        long nowMs = term.clock.nowMs();
        Worker worker = run.worker;
        if (answer.clockMs().isPresent()) {
            worker.heard(nowMs, answer.clockMs());
        }
        if (answer.reply() != Reply.OK) {
            EventLog.event(
                    "run.start",
                    "task",
                    run.task.text(),
                    "run",
                    run.runId,
                    "worker",
                    worker.id,
                    "reply",
                    answer.reply(),
                    "unanswered",
                    run.unanswered);
        }
        switch (answer.reply()) {
            case OK -> confirmed(run, nowMs);
            case OLD -> {
                run.stage = ActiveRun.Stage.CONFIRMED;
                run.confirmedMs = nowMs;
                worker.holdDueMs = nowMs;
            }
            case LATE -> term.clock.later(RETRY_MS, () -> start(run));
            case OTHER_LIFE -> term.lifeOver(worker, "another life answers");
            case NO_ANSWER -> unanswered(run, nowMs);
            default -> notTaken(run, answer.reply(), nowMs);
        }
    }

    private void confirmed(ActiveRun run, long nowMs) {
        run.stage = ActiveRun.Stage.CONFIRMED;
        run.confirmedMs = nowMs;
        run.progressMs = nowMs;
        run.unanswered = 0;
        run.worker.holdDueMs = Math.min(run.worker.holdDueMs, nowMs);
        if (run.stopWanted) {
            stop(run);
        } else {
            pace.begun(run);
            look(run.worker, nowMs);
        }
    }

    private void unanswered(ActiveRun run, long nowMs) {
        run.unanswered++;
        run.worker.health.failed(run.task.jobId(), nowMs);
        if (run.unanswered >= MAX_UNANSWERED_STARTS || run.stopWanted) {
            run.confirmedMs = Long.MAX_VALUE;
            wantStop(run);
        } else {
            term.clock.later(RETRY_MS, () -> start(run));
        }
    }

    /**
     * The worker did nothing; but an earlier order without an answer may still be on its way.
     *
     * @param run the run
     * @param reply the reply
     * @param nowMs the time on a monotonic clock
     */
    private void notTaken(ActiveRun run, Reply reply, long nowMs) {
        if (reply != Reply.FENCED && reply != Reply.NO_ROOM) {
            run.worker.health.failed(run.task.jobId(), nowMs);
        }
        if (reply == Reply.NO_ROOM) {
            run.worker.avoidUntilMs = nowMs + SILENT_RETRY_MS;
        }
        if (run.unanswered > 0) {
            run.confirmedMs = Long.MAX_VALUE;
            wantStop(run);
        } else {
            proposeEnd(run, RunEnd.LOST, "", "not taken: " + reply);
        }
    }

    // Stops

    /**
     * Stops a run, again and again until its worker has answered.
     *
     * @param run the run
     */
    void wantStop(ActiveRun run) {
        if (run.endProposed) {
            return;
        }
        run.stopWanted = true;
        boolean underWay = run.stage == ActiveRun.Stage.COMMITTING
                || run.stage == ActiveRun.Stage.STARTING && run.unanswered < MAX_UNANSWERED_STARTS;
        if (!underWay || run.unanswered > 0) {
            stop(run);
        }
    }

    private void stop(ActiveRun run) {
        if (term.over() || run.endProposed || run.stopAnswered || run.stopUnderWay || run.worker.info.isEmpty()) {
            return;
        }
        run.stopUnderWay = true;
        driver.stop(run.worker.info.get(), run.task, run.runId, term.fence)
                .whenComplete((answer, thrown) -> term.clock.execute(() -> stopped(run, answer)));
    }

    private void stopped(ActiveRun run, Answer answer) {
        run.stopUnderWay = false;
        if (term.over() || run.endProposed) {
            return;
        }
        long nowMs = term.clock.nowMs();
        if (answer.clockMs().isPresent()) {
            run.worker.heard(nowMs, answer.clockMs());
        }
        if (answer.reply() == Reply.OK) {
            run.stopAnswered = true;
            run.stage = ActiveRun.Stage.CONFIRMED;
            run.confirmedMs = nowMs;
            run.worker.holdDueMs = nowMs;
            look(run.worker, nowMs);
        } else if (answer.reply() == Reply.OTHER_LIFE) {
            term.lifeOver(run.worker, "another life answers");
        } else {
            term.clock.later(RETRY_MS, () -> stop(run));
        }
    }

    /**
     * Moves off a worker that leaves what would not end there in time.
     *
     * @param worker the worker
     */
    void evacuate(Worker worker) {
        long remainingMs = worker.info.orElseThrow().remainingMs().orElse(0);
        List<ActiveRun> moving = new ArrayList<>();
        for (ActiveRun run : worker.runs()) {
            boolean tooLong = run.step.estimateMs() > remainingMs;
            if (run.step.lasting() || run.step.checkpointing() && tooLong) {
                moving.add(run);
            }
        }
        moving.forEach(this::wantStop);
    }

    // Looks

    /**
     * Looks at a worker if that is due, and notices when its leases are over.
     *
     * @param worker the worker
     * @param nowMs the time on a monotonic clock
     */
    void look(Worker worker, long nowMs) {
        if (term.over() || worker.gone) {
            return;
        }
        if (worker.runCount() > 0 && worker.leasesOver(nowMs) && worker.holdFailures > 0
                || worker.info.isEmpty() && nowMs > worker.inheritedUntilMs) {
            leasesOver(worker);
        }
        if (worker.holding || nowMs < worker.holdDueMs || !worker.needsLook(nowMs) || !term.clock.leased()) {
            return;
        }
        boolean runsThere = worker.runCount() > 0;
        // A silent worker's lease is left to run out: each renewal that gets no answer might still be carried out.
        OptionalLong deadline = runsThere && worker.holdFailures == 0
                ? worker.deadline(nowMs, term.settings.leaseMs())
                : OptionalLong.empty();
        boolean atOnce = !worker.fenced || worker.holdFailures > 0 || !runsThere || stopping(worker);
        HoldOrder order = new HoldOrder(term.fence, worker.notedEnd, deadline, atOnce ? 0 : waitMs(worker));
        worker.holding = true;
        long told = worker.notedEnd;
        driver.hold(worker.info.orElseThrow(), order)
                .whenComplete((look, thrown) -> term.clock.execute(() -> looked(worker, look, nowMs, told)));
    }

    /**
     * Fill work beside a lasting task with a target is looked at more often, because its harm shows only in looks.
     *
     * @param worker the worker
     * @return how long the worker may wait
     */
    private static long waitMs(Worker worker) {
        return worker.serving > 0 && worker.fills > 0 ? MIXED_LOOK_WAIT_MS : LOOK_WAIT_MS;
    }

    private static boolean stopping(Worker worker) {
        for (ActiveRun run : worker.runs()) {
            if (run.stopAnswered) {
                return true;
            }
        }
        return false;
    }

    private void leasesOver(Worker worker) {
        List<ActiveRun> lapsed = new ArrayList<>();
        worker.runs().forEach(lapsed::add);
        lapsed.forEach(run -> proposeEnd(run, RunEnd.LOST, "", "its lease is over"));
        if (worker.info.isEmpty()) {
            worker.gone = true;
        }
    }

    private void looked(Worker worker, Look look, long sentMs, long told) {
        worker.holding = false;
        if (term.over() || worker.gone) {
            return;
        }
        long nowMs = term.clock.nowMs();
        if (look.reply() == Reply.OTHER_LIFE
                || look.bornMs().isPresent() && look.bornMs().getAsLong() != worker.bornMs) {
            term.lifeOver(worker, "another life answers a look");
            return;
        }
        if (look.reply() != Reply.OK) {
            if (worker.holdFailures++ == 0) {
                EventLog.event("worker.silent", "worker", worker.id, "reply", look.reply(), "runs", worker.runCount());
            }
            worker.holdDueMs = nowMs + SILENT_RETRY_MS;
            return;
        }
        if (worker.holdFailures > 0) {
            EventLog.event("worker.answers", "worker", worker.id, "failures", worker.holdFailures);
        }
        worker.holdFailures = 0;
        worker.toldEnd = told;
        worker.fenced = true;
        worker.heard(nowMs, look.clockMs());
        worker.holdDueMs = stopping(worker) ? nowMs + term.settings.stopTimeoutMs() / 4 : nowMs;
        Set<ActiveRun> listed = new HashSet<>();
        look.ended().forEach(row -> ended(worker, row).ifPresent(listed::add));
        look.running().forEach(row -> running(worker, row, nowMs).ifPresent(listed::add));
        endUnlisted(worker, listed, sentMs);
        pace.adjust(worker, nowMs).forEach(this::wantStop);
        look(worker, nowMs);
    }

    private Optional<ActiveRun> ended(Worker worker, EndedRow row) {
        if (row.number() <= worker.highestEnd) {
            return worker.run(row.task(), row.runId());
        }
        worker.highestEnd = row.number();
        Optional<ActiveRun> run = worker.run(row.task(), row.runId());
        if (run.isEmpty()) {
            // Nobody waits for it: it was given up before, and the state says so.
            worker.endNoted(row.number());
            return run;
        }
        long nowMs = term.clock.nowMs();
        if (row.how() == RunEnd.DONE) {
            worker.health.succeeded();
        } else if (row.how() == RunEnd.FAILED) {
            worker.noteFailure(row.task(), nowMs);
        }
        worker.endsUnderWay.add(row.number());
        proposeEnd(run.get(), row.how(), row.checkpoint(), "", () -> {
            worker.endNoted(row.number());
            look(worker, term.clock.nowMs());
        });
        return run;
    }

    private Optional<ActiveRun> running(Worker worker, RunningRow row, long nowMs) {
        Optional<ActiveRun> found = worker.run(row.task(), row.runId());
        if (found.isEmpty()) {
            EventLog.event("run.stray", "task", row.task().text(), "run", row.runId(), "worker", worker.id);
            driver.stop(worker.info.orElseThrow(), row.task(), row.runId(), term.fence);
            return found;
        }
        ActiveRun run = found.get();
        if (run.stage == ActiveRun.Stage.INHERITED) {
            run.stage = ActiveRun.Stage.CONFIRMED;
            run.confirmedMs = nowMs;
            run.progressMs = nowMs;
            if (run.stopWanted) {
                stop(run);
            }
        }
        run.figure = row.figure();
        boolean moves = row.percent() != run.percent || run.pacePercent < AT_WORK_PERCENT;
        boolean atWork = run.step.lasting() && row.percent() >= AT_WORK_PERCENT;
        if (moves || atWork) {
            run.progressMs = nowMs;
        }
        run.percent = row.percent();
        long limitMs = run.step.lasting() ? STARTUP_MS : STALL_MS;
        if (!run.stopWanted && !run.step.fill() && nowMs - run.progressMs > limitMs) {
            EventLog.event(
                    "run.stalled",
                    "task",
                    run.task.text(),
                    "run",
                    run.runId,
                    "worker",
                    worker.id,
                    "percent",
                    run.percent);
            worker.noteFailure(run.task, nowMs);
            wantStop(run);
        }
        return found;
    }

    /**
     * Ends the runs that the look must have listed and did not.
     *
     * @param worker the worker
     * @param listed the listed
     * @param sentMs when the look was sent
     */
    private void endUnlisted(Worker worker, Set<ActiveRun> listed, long sentMs) {
        List<ActiveRun> unlisted = new ArrayList<>();
        for (ActiveRun run : worker.runs()) {
            boolean mustBeListed = run.stage == ActiveRun.Stage.INHERITED
                    || run.stage == ActiveRun.Stage.CONFIRMED && run.confirmedMs < sentMs;
            if (mustBeListed && !listed.contains(run) && !run.endProposed) {
                unlisted.add(run);
            }
        }
        unlisted.forEach(run -> proposeEnd(run, RunEnd.LOST, "", "its worker doesn't have it"));
    }

    // Ends

    void proposeEnd(ActiveRun run, RunEnd how, String checkpoint, String why) {
        proposeEnd(run, how, checkpoint, why, () -> {});
    }

    private void proposeEnd(ActiveRun run, RunEnd how, String checkpoint, String why, Runnable noted) {
        if (run.endProposed) {
            return;
        }
        run.endProposed = true;
        term.untrack(run);
        EventLog.event(
                "run.end", "task", run.task.text(), "run", run.runId, "worker", run.worker.id, "how", how, "why", why);
        WorkCommand end = new WorkCommand.End(run.task, run.runId, how, checkpoint, term.clock.wallMs());
        term.proposals.add(end, result -> {
            if (!term.over() && (result.is(Verdict.DONE) || result.is(Verdict.UNCHANGED))) {
                noted.run();
                term.endCommitted(run, how);
            }
        });
    }
}
