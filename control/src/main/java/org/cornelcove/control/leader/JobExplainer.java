package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.cornelcove.control.state.FitCheck;
import org.cornelcove.control.state.Job;
import org.cornelcove.control.state.Tables;
import org.cornelcove.control.state.WorkerRecord;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobState;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.TeamRule;
import org.cornelcove.model.view.ExplainView;

/** Explains to an operator the current state of a job. */
final class JobExplainer {
    private final WorkerBoard workers;
    private final PlacementLoop placement;

    JobExplainer(WorkerBoard workers, PlacementLoop placement) {
        this.workers = workers;
        this.placement = placement;
    }

    ExplainView explain(JobId id, Tables tables, long nowMs) {
        Job job = tables.jobs().find(id).orElseThrow(() -> Failure.of(ErrorKind.JOB_UNKNOWN, id)
                .asException());
        List<String> lines = new ArrayList<>();
        if (job.state() == JobState.PENDING) {
            explainWaiting(job, tables, nowMs, lines);
        } else if (job.state() == JobState.PLACED) {
            explainPlaced(job, nowMs, lines);
        } else {
            lines.add("ended as " + job.state() + (job.reason().isEmpty() ? "" : ": " + job.reason()));
            job.host()
                    .ifPresent(host -> lines.add("its attempt still holds resources on " + host
                            + " until the worker reports its end or its lease expires"));
        }
        if (job.failures() > 0) {
            lines.add("failed " + job.failures() + " times, on " + job.failedHosts());
        }
        job.checkpoint().ifPresent(checkpoint -> lines.add("last recorded checkpoint: " + checkpoint));
        return new ExplainView(lines);
    }

    private void explainPlaced(Job job, long nowMs, List<String> lines) {
        lines.add(
                "attempt " + job.attempt() + " holds resources on " + job.host().get());
        Optional<RunningAttempt> running = workers.attempt(job.attemptId());
        if (running.isEmpty() || !running.get().reported()) {
            lines.add("the worker has not reported it yet");
        }
        running.ifPresent(attempt -> lines.add("its lease was renewed " + (nowMs - attempt.renewedMs()) + " ms ago"));
        if (workers.isEvicting(job.attemptId())) {
            lines.add("it is being evicted to make room");
        }
    }

    private void explainWaiting(Job job, Tables tables, long nowMs, List<String> lines) {
        RuleSet rules = tables.configuration().newest().rules();
        quotaLine(job, tables, rules).ifPresent(lines::add);
        int fitting = 0;
        int taking = 0;
        for (WorkerRecord worker : tables.workers().all()) {
            if (!workers.takesWork(worker.host(), worker.incarnation(), nowMs)
                    || placement.isQuarantined(worker.host(), nowMs)) {
                continue;
            }
            taking++;
            if (FitCheck.fits(job.spec(), worker.capacity(), tables.jobs().heldOn(worker.host()), rules.batch())) {
                fitting++;
            }
        }
        lines.add("waits; " + fitting + " of " + taking + " workers that take work have room for it");
        if (tables.workers().couldHold(job.spec(), rules.batch()).isEmpty()) {
            lines.add("no registered worker could ever hold it");
        }
    }

    private static Optional<String> quotaLine(Job job, Tables tables, RuleSet rules) {
        if (rules.teams().isEmpty()) {
            return Optional.empty();
        }
        TeamRule team = rules.teams().get(job.spec().team());
        if (team == null) {
            return Optional.of(
                    Failure.of(ErrorKind.TEAM_UNKNOWN, job.spec().team()).message());
        }
        Resources together =
                tables.jobs().heldBy(team.name()).total().plus(job.spec().resources());
        return together.fitsIn(team.quota())
                ? Optional.empty()
                : Optional.of(Failure.of(ErrorKind.QUOTA_EXCEEDED, team.name(), job.id())
                        .message());
    }
}
