package org.cornelcove.work.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.cornelcove.policy.quarantine.CrashBlame;
import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.job.JobSpec;
import org.cornelcove.work.job.RunEnd;
import org.cornelcove.work.job.StepSpec;
import org.cornelcove.work.job.TaskKey;

/**
 * Reference model of the job state: scans the list of accepted commands for each query, and so keeps no state to
 * corrupt.
 */
final class NaiveJobs {
    private final int attempts;
    private final List<WorkCommand> accepted = new ArrayList<>();

    NaiveJobs(int attempts) {
        this.attempts = attempts;
    }

    private <T extends WorkCommand> List<T> all(Class<T> type, Predicate<T> which) {
        return accepted.stream()
                .filter(type::isInstance)
                .map(type::cast)
                .filter(which)
                .toList();
    }

    private Optional<JobSpec> job(String id) {
        return all(WorkCommand.Submit.class, s -> s.spec().id().equals(id)).stream()
                .map(WorkCommand.Submit::spec)
                .findFirst();
    }

    private StepSpec step(TaskKey task) {
        return job(task.jobId()).orElseThrow().steps().get(task.step());
    }

    private boolean known(TaskKey task) {
        Optional<JobSpec> job = job(task.jobId());
        return job.isPresent()
                && task.occurrence() < job.get().schedule().occurrences()
                && task.step() < job.get().steps().size()
                && task.index() < job.get().steps().get(task.step()).count();
    }

    /** Returns whether the end of one task also counts for the other, as it does within a gang. */
    private boolean endsTogether(TaskKey one, TaskKey other) {
        boolean sameStep = one.jobId().equals(other.jobId())
                && one.occurrence() == other.occurrence()
                && one.step() == other.step();
        return sameStep && (step(one).gang() || one.index() == other.index());
    }

    private boolean done(TaskKey task) {
        return !step(task).lasting()
                && !all(WorkCommand.End.class, e -> e.how() == RunEnd.DONE && endsTogether(e.task(), task))
                        .isEmpty();
    }

    private int failures(TaskKey task) {
        if (step(task).lasting()) {
            return 0;
        }
        return (int) all(WorkCommand.End.class, e -> e.how() == RunEnd.FAILED && endsTogether(e.task(), task)).stream()
                .map(WorkCommand.End::runId)
                .distinct()
                .count();
    }

    private long crashes(TaskKey task) {
        return all(WorkCommand.RecordCrash.class, c -> c.task().equals(task)).size();
    }

    private boolean stepDone(String id, int occurrence, int step) {
        for (int index = 0; index < job(id).orElseThrow().steps().get(step).count(); index++) {
            if (!done(new TaskKey(id, occurrence, step, index))) {
                return false;
            }
        }
        return true;
    }

    private List<WorkCommand.Start> runs(TaskKey task) {
        return all(
                WorkCommand.Start.class,
                s -> s.task().equals(task)
                        && all(WorkCommand.End.class, e -> e.task().equals(task) && e.runId() == s.runId())
                                .isEmpty());
    }

    /** Returns whether a task is done, how often it failed and crashed workers, and how many active runs it has. */
    List<Object> counts(TaskKey task) {
        return List.of(
                done(task), failures(task), (int) crashes(task), runs(task).size());
    }

    /** Derives the phase from the first command that ended the job; later commands have no effect. */
    JobPhase phase(String id) {
        NaiveJobs replayed = new NaiveJobs(attempts);
        JobPhase phase = JobPhase.QUEUED;
        for (WorkCommand command : accepted) {
            replayed.accepted.add(command);
            if (command instanceof WorkCommand.Cancel cancel && cancel.jobId().equals(id)) {
                return JobPhase.CANCELLED;
            } else if (command instanceof WorkCommand.Start start
                    && start.task().jobId().equals(id)) {
                phase = JobPhase.RUNNING;
            } else if (command instanceof WorkCommand.RecordCrash crash
                    && crash.task().jobId().equals(id)
                    && replayed.crashes(crash.task()) >= CrashBlame.MAX_CRASHES) {
                return JobPhase.FAILED;
            } else if (command instanceof WorkCommand.End end
                    && end.task().jobId().equals(id)) {
                if (end.how() == RunEnd.FAILED
                        && !replayed.step(end.task()).lasting()
                        && replayed.failures(end.task()) >= attempts
                        && !replayed.done(end.task())) {
                    return JobPhase.FAILED;
                } else if (replayed.allDone(id)) {
                    return JobPhase.COMPLETED;
                }
            }
        }
        return phase;
    }

    private boolean allDone(String id) {
        JobSpec job = job(id).orElseThrow();
        for (int occurrence = 0; occurrence < job.schedule().occurrences(); occurrence++) {
            for (int step = 0; step < job.steps().size(); step++) {
                if (!stepDone(id, occurrence, step)) {
                    return false;
                }
            }
        }
        return true;
    }

    Verdict apply(WorkCommand command) {
        Verdict verdict = verdict(command);
        if (verdict == Verdict.DONE) {
            accepted.add(command);
        }
        return verdict;
    }

    private Verdict verdict(WorkCommand command) {
        if (command instanceof WorkCommand.Submit submit) {
            return job(submit.spec().id()).isPresent() ? Verdict.UNCHANGED : Verdict.DONE;
        } else if (command instanceof WorkCommand.Cancel cancel) {
            if (job(cancel.jobId()).isEmpty()) {
                return Verdict.UNKNOWN;
            }
            return phase(cancel.jobId()).ended() ? Verdict.UNCHANGED : Verdict.DONE;
        } else if (command instanceof WorkCommand.Start start) {
            return start(start);
        } else if (command instanceof WorkCommand.End end) {
            if (job(end.task().jobId()).isEmpty()) {
                return Verdict.UNKNOWN;
            }
            boolean runs = known(end.task()) && runs(end.task()).stream().anyMatch(s -> s.runId() == end.runId());
            return runs ? Verdict.DONE : Verdict.UNCHANGED;
        } else if (command instanceof WorkCommand.RecordCrash crash) {
            return crash(crash);
        }
        throw new IllegalArgumentException("not covered: " + command);
    }

    private Verdict crash(WorkCommand.RecordCrash crash) {
        if (job(crash.task().jobId()).isEmpty()) {
            return Verdict.UNKNOWN;
        }
        boolean started = !all(
                        WorkCommand.Start.class, s -> s.task().equals(crash.task()) && s.runId() >= crash.runId())
                .isEmpty();
        boolean counted = !all(
                        WorkCommand.RecordCrash.class, c -> c.task().equals(crash.task()) && c.runId() >= crash.runId())
                .isEmpty();
        boolean counts = known(crash.task())
                && started
                && !counted
                && !done(crash.task())
                && !phase(crash.task().jobId()).ended();
        return counts ? Verdict.DONE : Verdict.UNCHANGED;
    }

    private Verdict start(WorkCommand.Start start) {
        TaskKey task = start.task();
        if (job(task.jobId()).isEmpty()) {
            return Verdict.UNKNOWN;
        }
        if (!known(task) || phase(task.jobId()).ended()) {
            return Verdict.REFUSED;
        }
        StepSpec step = step(task);
        int highest = all(WorkCommand.Start.class, s -> s.task().equals(task)).stream()
                .mapToInt(WorkCommand.Start::runId)
                .max()
                .orElse(0);
        boolean dependenciesPending =
                step.after().stream().anyMatch(after -> !stepDone(task.jobId(), task.occurrence(), after));
        boolean hasActiveRun = !runs(task).isEmpty() && !step.copies();
        boolean attemptsExhausted = !step.lasting() && failures(task) >= attempts;
        boolean valid =
                !done(task) && !hasActiveRun && !dependenciesPending && !attemptsExhausted && start.runId() > highest;
        return valid ? Verdict.DONE : Verdict.REFUSED;
    }
}
