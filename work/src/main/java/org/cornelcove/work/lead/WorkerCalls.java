package org.cornelcove.work.lead;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

import org.cornelcove.work.lead.WorkerDriver.Answer;
import org.cornelcove.work.lead.WorkerDriver.PollOrder;
import org.cornelcove.work.lead.WorkerDriver.PollResult;
import org.cornelcove.work.lead.WorkerDriver.Reply;
import org.cornelcove.work.lead.WorkerDriver.RunningRow;
import org.cornelcove.work.lead.WorkerDriver.StartOrder;
import org.cornelcove.work.log.EventLog;
import org.cornelcove.work.state.Task;

/**
 * Sends start, stop and poll calls to workers and handles their answers. Used on the leader's loop only.
 *
 * <p>A start call without an answer may be carried out seconds later. It is sent again with the same run number, so that
 * the worker recognizes it; after a few attempts the run is stopped, and a worker refuses a run whose stop arrived before
 * its start. Only a poll that was sent after the worker's answer, and lists the run neither as running nor as ended, proves
 * that the run does not exist; a poll that lists only a part of the ended runs proves nothing about the others.
 */
final class WorkerCalls {
    /** Start calls without an answer after which the run is stopped. */
    private static final int MAX_UNANSWERED_STARTS = 3;
    /** Pause before an order is sent again. */
    private static final long RETRY_MS = 150;
    /** Pause before a worker that does not answer a poll is polled again. */
    private static final long SILENT_RETRY_MS = 300;
    /** How long a worker may wait for an end before it answers a poll; half of the interval of lease renewals. */
    private static final long POLL_WAIT_MS = 1500;
    /** The same for fill work beside a lasting task: measurements are half a second old anyway. */
    private static final long MIXED_POLL_WAIT_MS = 500;
    /** Time without progress after which a task is stopped as stalled; a slow task progresses within it. */
    private static final long STALL_MS = 3500;
    /** Time after its start by which a lasting task has to be at work; otherwise it is stopped and started again. */
    private static final long STARTUP_MS = 5000;

    private static final int AT_WORK_PERCENT = 100;

    private final Term term;
    private final WorkerDriver driver;
    private final PaceKeeper pace;

    WorkerCalls(Term term, WorkerDriver driver) {
        this.term = term;
        this.driver = driver;
        this.pace = new PaceKeeper(term, driver);
    }

    // Starts

    PaceKeeper pace() {
        return pace;
    }

    void start(ActiveRun run) {
        if (term.over() || run.endProposed || run.worker.incarnationEnded) {
            return;
        }
        if (run.stopWanted && run.unanswered == 0) {
            term.ends.lost(run, "stopped before its start was sent");
            return;
        }
        if (run.worker.replaced && run.unanswered == 0) {
            term.ends.lost(run, "its worker was replaced before its start was sent");
            return;
        }
        long nowMs = term.clock.nowMs();
        if (!term.clock.leased()) {
            startLater(run);
            return;
        }
        OptionalLong deadline = run.worker.deadline(nowMs, term.settings.leaseMs());
        if (deadline.isEmpty() || run.worker.info.isEmpty()) {
            term.ends.lost(run, "its worker is not known");
            return;
        }
        run.stage = ActiveRun.Stage.STARTING;
        Task task = run.job.task(run.task).orElseThrow();
        StartOrder order = new StartOrder(
                run.task, run.runId, run.job.spec().taskText(), task.checkpoint(), deadline.getAsLong(), term.fence);
        Worker worker = run.worker;
        driver.start(worker.info.get(), order)
                .whenComplete((answer, thrown) -> term.clock.execute(() -> started(run, worker, answer)));
    }

    private void startLater(ActiveRun run) {
        Worker worker = run.worker;
        term.clock.later(RETRY_MS, () -> {
            if (run.worker == worker) {
                start(run);
            }
        });
    }

    private void started(ActiveRun run, Worker worker, Answer answer) {
        // Once the worker is known to have started again, it is open which incarnation answered.
        if (term.over() || run.endProposed || run.worker != worker) {
            return;
        }
        long nowMs = term.clock.nowMs();
        if (answer.clockMs().isPresent()) {
            worker.recordContact(nowMs, answer.clockMs());
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
            case LATE -> startLater(run);
            case OTHER_LIFE -> term.incarnations.replaced(worker, "another worker answered at its address");
            case NO_ANSWER -> unanswered(run, nowMs);
            default -> startRefused(run, answer.reply(), nowMs);
        }
    }

    private void confirmed(ActiveRun run, long nowMs) {
        run.stage = ActiveRun.Stage.CONFIRMED;
        run.confirmedMs = nowMs;
        run.progressMs = nowMs;
        run.recordRunning(nowMs);
        run.unanswered = 0;
        run.worker.holdDueMs = Math.min(run.worker.holdDueMs, nowMs);
        if (run.stopWanted) {
            stop(run);
        } else {
            pace.begun(run);
            poll(run.worker, nowMs);
        }
    }

    private void unanswered(ActiveRun run, long nowMs) {
        run.unanswered++;
        run.doubtStart(nowMs);
        run.worker.health.failed(run.task.jobId(), nowMs);
        if (run.unanswered >= MAX_UNANSWERED_STARTS || run.stopWanted) {
            run.confirmedMs = Long.MAX_VALUE;
            requestStop(run);
        } else {
            startLater(run);
        }
    }

    /**
     * Handles a refused start; an earlier start call without an answer may still be carried out.
     *
     * @param run the run
     * @param reply the worker's answer
     * @param nowMs the time on a monotonic clock
     */
    private void startRefused(ActiveRun run, Reply reply, long nowMs) {
        if (reply != Reply.FENCED && reply != Reply.NO_ROOM) {
            run.worker.health.failed(run.task.jobId(), nowMs);
        }
        if (reply == Reply.NO_ROOM) {
            run.worker.avoidUntilMs = nowMs + SILENT_RETRY_MS;
        }
        if (run.unanswered > 0) {
            run.confirmedMs = Long.MAX_VALUE;
            requestStop(run);
        } else {
            term.ends.lost(run, "refused by the worker: " + reply);
        }
    }

    // Stops

    /**
     * Stops a run; the stop call is repeated until the worker has answered.
     *
     * @param run the run
     */
    void requestStop(ActiveRun run) {
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
        if (term.over() || run.endProposed || run.stopAnswered || run.stopPending || run.worker.info.isEmpty()) {
            return;
        }
        run.stopPending = true;
        Worker worker = run.worker;
        driver.stop(worker.info.get(), run.task, run.runId, term.fence)
                .whenComplete((answer, thrown) -> term.clock.execute(() -> stopped(run, worker, answer)));
    }

    private void stopped(ActiveRun run, Worker worker, Answer answer) {
        if (run.worker != worker) {
            return;
        }
        run.stopPending = false;
        if (term.over() || run.endProposed) {
            return;
        }
        long nowMs = term.clock.nowMs();
        if (answer.clockMs().isPresent()) {
            run.worker.recordContact(nowMs, answer.clockMs());
        }
        if (answer.reply() == Reply.OK) {
            run.stopAnswered = true;
            run.stage = ActiveRun.Stage.CONFIRMED;
            run.confirmedMs = nowMs;
            run.worker.holdDueMs = nowMs;
            poll(run.worker, nowMs);
        } else if (answer.reply() == Reply.OTHER_LIFE) {
            term.incarnations.replaced(worker, "another worker answered at its address");
        } else {
            term.clock.later(RETRY_MS, () -> stop(run));
        }
    }

    /**
     * Stops the runs of a draining worker that would not end in time, so that they start elsewhere.
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
        moving.forEach(this::requestStop);
    }

    // Polls

    /**
     * Polls a worker if that is due, and ends its runs once all its leases have expired.
     *
     * @param worker the worker
     * @param nowMs the time on a monotonic clock
     */
    void poll(Worker worker, long nowMs) {
        if (term.over() || worker.incarnationEnded) {
            return;
        }
        if (worker.runCount() > 0 && worker.leasesExpired(nowMs) && worker.holdFailures > 0
                || worker.info.isEmpty() && nowMs > worker.inheritedUntilMs) {
            leasesExpired(worker);
        }
        if (worker.holding || nowMs < worker.holdDueMs || !worker.needsPoll(nowMs) || !term.clock.leased()) {
            return;
        }
        boolean runsThere = worker.runCount() > 0;
        // The lease of a silent worker is not renewed, since a renewal without an answer may still be carried out. That
        // of a
        // leaving worker bounds how long its runs wait when its end cannot be proved otherwise.
        OptionalLong deadline = runsThere && worker.holdFailures == 0 && !worker.leaving
                ? worker.deadline(nowMs, term.settings.leaseMs())
                : OptionalLong.empty();
        boolean atOnce = !worker.fenced || worker.holdFailures > 0 || !runsThere || stopping(worker);
        // A later incarnation that answers would forget its own ends by these numbers, before the leader has seen them.
        long sentThrough = worker.mayAcknowledge() ? worker.unacknowledgedEnd() : 0;
        PollOrder order = new PollOrder(term.fence, sentThrough, deadline, atOnce ? 0 : waitMs(worker));
        worker.holding = true;
        driver.poll(worker.info.orElseThrow(), order)
                .whenComplete((poll, thrown) -> term.clock.execute(() -> polled(worker, poll, nowMs, sentThrough)));
    }

    /**
     * Returns a shorter wait for fill work beside a lasting task with a target, because only polls show its harm.
     *
     * @param worker the worker
     * @return how long the worker may wait before it answers, in milliseconds
     */
    private static long waitMs(Worker worker) {
        return worker.serving > 0 && worker.fills > 0 ? MIXED_POLL_WAIT_MS : POLL_WAIT_MS;
    }

    /** Returns the pause between two polls, of which the first did not wait for an end, or did not have to. */
    private long pauseMs(Worker worker) {
        if (stopping(worker)) {
            return term.settings.stopTimeoutMs() / 4;
        }
        return worker.unacknowledgedEnd() > 0 && !worker.mayAcknowledge() ? RETRY_MS : 0;
    }

    private static boolean stopping(Worker worker) {
        for (ActiveRun run : worker.runs()) {
            if (run.stopAnswered) {
                return true;
            }
        }
        return false;
    }

    /**
     * Ends the runs of a worker whose leases have expired. A run that was not listed, or whose start was sent again, may be on
     * a later incarnation that the leader does not know, and which cuts a deadline on the earlier one's clock to the longest
     * lease that it accepts.
     *
     * @param worker the worker
     */
    private void leasesExpired(Worker worker) {
        long nowMs = term.clock.nowMs();
        boolean laterOnesExpired = nowMs > Term.leaseEndMs(worker.grantedMs, term.settings.maxLeaseMs());
        List<ActiveRun> lapsed = new ArrayList<>();
        for (ActiveRun run : worker.runs()) {
            if (laterOnesExpired || !run.mayHaveReachedSuccessor()) {
                lapsed.add(run);
            }
        }
        if (!lapsed.isEmpty()) {
            worker.lapsedRuns =
                    Stream.concat(worker.lapsedRuns.stream(), lapsed.stream()).toList();
            worker.lapsedMs = nowMs;
        }
        lapsed.forEach(run -> term.ends.lost(run, "its lease expired"));
        if (worker.info.isEmpty() && worker.runCount() == 0) {
            worker.incarnationEnded = true;
        }
    }

    private void polled(Worker worker, PollResult poll, long sentMs, long sentThrough) {
        worker.holding = false;
        if (term.over() || worker.incarnationEnded) {
            return;
        }
        long nowMs = term.clock.nowMs();
        long answeredBy = poll.processStartMs().orElse(worker.processStartMs);
        if (answeredBy != worker.processStartMs) {
            Worker successor = term.incarnations.restarted(
                    worker, worker.info.orElseThrow().restartedAt(answeredBy));
            successor.recordContact(nowMs, poll.clockMs());
            return;
        }
        if (poll.reply() == Reply.OTHER_LIFE && (!worker.replaced || sentMs >= worker.replacedMs)) {
            term.incarnations.end(worker, "another worker answered a poll at its address");
            return;
        }
        if (poll.reply() != Reply.OK) {
            if (worker.holdFailures++ == 0) {
                EventLog.event("worker.silent", "worker", worker.id, "reply", poll.reply(), "runs", worker.runCount());
            }
            worker.holdDueMs = nowMs + SILENT_RETRY_MS;
            return;
        }
        if (worker.holdFailures > 0) {
            EventLog.event("worker.answers", "worker", worker.id, "failures", worker.holdFailures);
        }
        worker.holdFailures = 0;
        worker.replaced &= sentMs < worker.replacedMs;
        if (sentMs >= worker.lapsedMs) {
            // It has outlived them, so a later crash is not theirs.
            worker.lapsedRuns = List.of();
        }
        worker.acknowledgedEnd = Math.max(worker.acknowledgedEnd, sentThrough);
        worker.fenced = true;
        worker.recordContact(nowMs, poll.clockMs());
        Set<ActiveRun> listed = new HashSet<>();
        poll.ended().forEach(row -> term.ends.reported(worker, row).ifPresent(listed::add));
        poll.running().forEach(row -> running(worker, row, sentMs).ifPresent(listed::add));
        if (poll.moreEnded()) {
            EventLog.event(
                    "worker.ends.more",
                    "worker",
                    worker.id,
                    "listed",
                    poll.ended().size());
            // Those that were confirmed before are on this incarnation, among the ends that it left out.
            worker.runs().forEach(run -> run.listed |= mustBeListed(run, sentMs));
        } else {
            endUnlisted(worker, listed, sentMs);
        }
        worker.holdDueMs = nowMs + pauseMs(worker);
        pace.adjust(worker, nowMs).forEach(this::requestStop);
        poll(worker, nowMs);
    }

    private Optional<ActiveRun> running(Worker worker, RunningRow row, long sentMs) {
        long nowMs = term.clock.nowMs();
        Optional<ActiveRun> found = worker.run(row.task(), row.runId());
        if (found.isEmpty()) {
            EventLog.event("run.stray", "task", row.task().text(), "run", row.runId(), "worker", worker.id);
            driver.stop(worker.info.orElseThrow(), row.task(), row.runId(), term.fence);
            return found;
        }
        ActiveRun run = found.get();
        run.recordListed(sentMs);
        run.recordRunning(nowMs);
        if (run.stage == ActiveRun.Stage.INHERITED) {
            run.stage = ActiveRun.Stage.CONFIRMED;
            run.confirmedMs = nowMs;
            run.progressMs = nowMs;
            if (run.stopWanted) {
                stop(run);
            }
        }
        run.figure = row.figure();
        boolean progressed = row.percent() != run.percent || run.pacePercent < AT_WORK_PERCENT;
        boolean atWork = run.step.lasting() && row.percent() >= AT_WORK_PERCENT;
        if (progressed || atWork) {
            run.progressMs = nowMs;
        }
        if (atWork && run.recordAtWork(nowMs)) {
            worker.health.succeeded();
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
            worker.recordFailure(run.task, nowMs);
            requestStop(run);
        }
        return found;
    }

    private static boolean mustBeListed(ActiveRun run, long sentMs) {
        return run.stage == ActiveRun.Stage.INHERITED
                || run.stage == ActiveRun.Stage.CONFIRMED && run.confirmedMs < sentMs;
    }

    /**
     * Ends the runs that a poll should have listed but did not.
     *
     * @param worker the worker
     * @param listed the runs that the poll listed
     * @param sentMs when the poll was sent, on the monotonic clock
     */
    private void endUnlisted(Worker worker, Set<ActiveRun> listed, long sentMs) {
        List<ActiveRun> unlisted = new ArrayList<>();
        for (ActiveRun run : worker.runs()) {
            if (mustBeListed(run, sentMs) && !listed.contains(run) && !run.endProposed) {
                unlisted.add(run);
            }
        }
        unlisted.forEach(run -> term.ends.lost(run, "its worker does not list it"));
    }
}
