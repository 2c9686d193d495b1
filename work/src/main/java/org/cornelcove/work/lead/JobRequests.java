package org.cornelcove.work.lead;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.work.job.JobSpec;
import org.cornelcove.work.job.QueueRule;
import org.cornelcove.work.job.WorkRules;
import org.cornelcove.work.log.EventLog;
import org.cornelcove.work.state.Job;
import org.cornelcove.work.state.Verdict;
import org.cornelcove.work.state.WorkCommand;

/**
 * Handles the requests of callers in one term. Used on the leader's loop only.
 *
 * <p>A request may be a repetition of one that was accepted and whose answer was lost, and its queue may be removed in the
 * meantime. So a job is looked up by the host and path under which it was accepted before its queue is, and no queue is
 * said to be missing while the acceptance of a job under this path is undecided.
 */
final class JobRequests {
    /** Continues a request once everything that was committed before is in the state, or fails its answer. */
    @FunctionalInterface
    interface ReadBarrier {
        void then(CompletableFuture<?> answer, Runnable action);
    }

    private static final int RETRY_AFTER_S = 1;

    private final Term term;
    private final ReadBarrier barrier;
    /** How many submissions are proposed and undecided, by path. */
    private final Map<String, Integer> undecided = new HashMap<>();

    JobRequests(Term term, ReadBarrier barrier) {
        this.term = term;
        this.barrier = barrier;
    }

    /**
     * Handles a request.
     *
     * @param call the request
     * @param answer completed with the answer; fails with the kinds of a proposal
     */
    void handle(JobCall call, CompletableFuture<JobReply> answer) {
        boolean decided =
                switch (call.kind()) {
                    case SUBMIT -> submit(call, answer);
                    case CANCEL -> cancel(call, answer);
                    case SHOW -> false;
                };
        if (!decided) {
            barrier.then(answer, () -> handleUpToDate(call, answer));
        }
    }

    private void handleUpToDate(JobCall call, CompletableFuture<JobReply> answer) {
        boolean decided =
                switch (call.kind()) {
                    case SUBMIT -> submit(call, answer);
                    case CANCEL -> cancel(call, answer);
                    case SHOW -> show(call, answer);
                };
        if (decided) {
            return;
        }
        WorkRules rules = term.state.rules();
        if (undecided.containsKey(call.path())) {
            answer.completeExceptionally(
                    Failure.of(ErrorKind.PROPOSAL_OUTCOME_UNKNOWN).asException());
        } else {
            answer.complete(
                    rules.version() == 0 ? JobReply.refused(RETRY_AFTER_S) : JobReply.of(JobReply.Outcome.NO_QUEUE));
        }
    }

    private Optional<QueueRule> queueOf(JobCall call) {
        return term.state.rules().queueFor(call.host(), call.path());
    }

    private Optional<Job> jobOf(JobCall call) {
        return term.state.jobAt(call.host(), call.path());
    }

    /** Each of the following returns false if the state has neither the job nor a queue for it. */
    private boolean submit(JobCall call, CompletableFuture<JobReply> answer) {
        Optional<Job> known = jobOf(call);
        if (known.isPresent()) {
            logAccepted(known.get().spec(), known.get().acceptedBy(), true);
            term.openJob(known.get());
            answer.complete(JobReply.of(JobReply.Outcome.ACCEPTED));
            return true;
        }
        Optional<QueueRule> queue = queueOf(call);
        queue.ifPresent(found -> submitTo(found, call, answer));
        return queue.isPresent();
    }

    private void submitTo(QueueRule queue, JobCall call, CompletableFuture<JobReply> answer) {
        String id = call.path().substring(queue.pathPrefix().length());
        JobSpec spec =
                new JobSpec(id, queue.host(), queue.pathPrefix(), call.taskText(), call.steps(), call.schedule());
        undecided.merge(call.path(), 1, Integer::sum);
        term.proposals.add(new WorkCommand.Submit(spec, queue, term.clock.wallMs()), result -> {
            undecided.computeIfPresent(call.path(), (path, count) -> count == 1 ? null : count - 1);
            if (result.failure().isPresent()) {
                answer.completeExceptionally(result.failure().get().asException());
                return;
            }
            logAccepted(spec, queue, result.is(Verdict.UNCHANGED));
            term.state.job(id).ifPresent(term::openJob);
            answer.complete(JobReply.of(JobReply.Outcome.ACCEPTED));
        });
    }

    private void logAccepted(JobSpec spec, QueueRule queue, boolean again) {
        EventLog.event(
                "job.accepted",
                "job",
                spec.id(),
                "queue",
                queue.name(),
                "rules",
                term.state.rules().version(),
                "workCoreUs",
                spec.workCoreUs(),
                "again",
                again);
    }

    private boolean cancel(JobCall call, CompletableFuture<JobReply> answer) {
        Optional<String> id = jobOf(call).map(job -> job.spec().id()).or(() -> queueOf(call)
                .map(queue -> call.path().substring(queue.pathPrefix().length())));
        id.ifPresent(found -> cancel(found, answer));
        return id.isPresent();
    }

    private void cancel(String id, CompletableFuture<JobReply> answer) {
        term.proposals.add(new WorkCommand.Cancel(id, term.clock.wallMs()), result -> {
            if (result.failure().isPresent()) {
                answer.completeExceptionally(result.failure().get().asException());
                return;
            }
            EventLog.event(
                    "job.cancelled", "job", id, "verdict", result.verdict().get());
            if (result.is(Verdict.DONE)) {
                term.jobEnded(id);
            }
            boolean unknown = result.is(Verdict.UNKNOWN);
            answer.complete(JobReply.of(unknown ? JobReply.Outcome.NO_JOB : JobReply.Outcome.CANCELLED));
        });
    }

    private boolean show(JobCall call, CompletableFuture<JobReply> answer) {
        Optional<Job> job = jobOf(call);
        Optional<QueueRule> queue = queueOf(call);
        if (queue.isPresent() && call.path().equals(queue.get().pathPrefix())) {
            answer.complete(new JobReply(JobReply.Outcome.COUNTED, null, term.pending(queue.get()), 0));
        } else if (job.isPresent()) {
            answer.complete(new JobReply(JobReply.Outcome.SHOWN, job.get().phase(), 0, 0));
        } else if (queue.isPresent()) {
            answer.complete(JobReply.of(JobReply.Outcome.NO_JOB));
        }
        return job.isPresent() || queue.isPresent();
    }
}
