package org.cornelcove.work.lead;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.work.Steps;
import org.cornelcove.work.job.JobPhase;
import org.cornelcove.work.job.QueueRule;
import org.cornelcove.work.job.Schedule;
import org.cornelcove.work.job.WorkRules;
import org.cornelcove.work.lead.JobCall.Kind;
import org.cornelcove.work.lead.JobReply.Outcome;
import org.cornelcove.work.state.WorkCommand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Requests for jobs whose queue the operator removes. */
class JobRequestsTest extends TermRig {
    private static final long COMMIT_MS = 20;

    private CompletableFuture<JobReply> request(Kind kind, String path) {
        CompletableFuture<JobReply> answer = new CompletableFuture<>();
        new JobRequests(loop.term, (any, action) -> action.run())
                .handle(new JobCall(kind, "h", path, "x", List.of(Steps.plain(1)), Schedule.ONCE), answer);
        return answer;
    }

    private JobReply answered(Kind kind, String path) {
        CompletableFuture<JobReply> answer = request(kind, path);
        loop.run(COMMIT_MS);
        return answer.join();
    }

    private void replaceQueues(QueueRule... queues) {
        long version = state.rules().version() + 1;
        apply(new WorkCommand.Configure(new WorkRules(version, new byte[] {2}, List.of(queues), Steps.RULES.pools())));
    }

    /** Guards against a refusal of a repeated request for a job that was accepted and runs. */
    @ParameterizedTest
    @CsvSource({"SUBMIT, ACCEPTED", "CANCEL, CANCELLED", "SHOW, SHOWN"})
    void anAcceptedJobIsFoundAfterItsQueueIsRemoved(Kind kind, Outcome expected) {
        assertThat(answered(Kind.SUBMIT, "/q/j").outcome(), is(Outcome.ACCEPTED));
        replaceQueues();
        assertThat(answered(kind, "/q/j").outcome(), is(expected));
    }

    /** Guards against a job that is in the state, that this leader did not take up, and that a repeated request leaves there. */
    @Test
    void aRepeatedSubmissionTakesUpTheJob() {
        workers.add("w1", 1);
        apply(new WorkCommand.Submit(Steps.job("j", Steps.plain(1)), Steps.QUEUE, loop.wallMs()));
        answered(Kind.SUBMIT, "/q/j");
        answered(Kind.SUBMIT, "/q/j");
        runWithBeats(2000);
        assertThat(phase("j"), is(JobPhase.COMPLETED));
        assertThat(List.copyOf(workers.starts.values()), is(List.of(1)));
    }

    @Test
    void aCancelledJobWithoutQueueRunsNoMore() {
        workers.taskMs = 60_000;
        FakeWorkers.Incarnation worker = workers.add("w1", 1);
        answered(Kind.SUBMIT, "/q/j");
        loop.run(100);
        assertThat(worker.running.size(), is(1));
        replaceQueues();
        answered(Kind.CANCEL, "/q/j");
        loop.run(500);
        assertThat(phase("j"), is(JobPhase.CANCELLED));
        assertThat(worker.running.size(), is(0));
    }

    /** Guards against a second job for a repeated request, under the id that the prefix of another queue leaves. */
    @ParameterizedTest
    @EnumSource(Kind.class)
    void aQueueWithAShorterPrefixDoesNotTakeTheRequestsOfAnAcceptedJob(Kind kind) {
        QueueRule outer = new QueueRule("outer", "h", "/", "pool", 0, 3, 2, 1000);
        replaceQueues(Steps.QUEUE, outer);
        answered(Kind.SUBMIT, "/q/j");
        replaceQueues(outer);
        assertThat(answered(kind, "/q/j").outcome() == Outcome.NO_JOB, is(false));
        assertThat(List.copyOf(state.jobs().keySet()), is(List.of("j")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"/q/", "/q/other", "/other/j"})
    void withoutAQueueAndAJobTheQueueIsMissing(String path) {
        answered(Kind.SUBMIT, "/q/j");
        replaceQueues();
        for (Kind kind : Kind.values()) {
            assertThat(answered(kind, path).outcome(), is(Outcome.NO_QUEUE));
        }
    }

    @Test
    void aJobIsForgottenWithItsRetention() {
        answered(Kind.SUBMIT, "/q/j");
        replaceQueues();
        apply(new WorkCommand.RemoveJob("j"));
        assertThat(answered(Kind.SUBMIT, "/q/j").outcome(), is(Outcome.NO_QUEUE));
    }

    /** Guards against a refusal while an earlier attempt is in the log behind the removal of the queue. */
    @ParameterizedTest
    @EnumSource(names = {"SUBMIT", "CANCEL"})
    void noQueueIsMissingWhileASubmissionIsUndecided(Kind kind) {
        JobRequests requests = new JobRequests(loop.term, (any, action) -> action.run());
        CompletableFuture<JobReply> first = new CompletableFuture<>();
        CompletableFuture<JobReply> second = new CompletableFuture<>();
        requests.handle(call(Kind.SUBMIT), first);
        loop.term.settle();
        replaceQueues();
        requests.handle(call(kind), second);
        CompletionException thrown = assertThrows(CompletionException.class, second::join);
        assertThat(FailureException.carriedBy(thrown).orElseThrow().kind(), is(ErrorKind.PROPOSAL_OUTCOME_UNKNOWN));
        loop.run(COMMIT_MS);
        assertThat(first.join().outcome(), is(Outcome.ACCEPTED));
        assertThat(answered(Kind.SUBMIT, "/q/j").outcome(), is(Outcome.ACCEPTED));
    }

    /** The barrier of a read may bring the rules that add the queue. */
    @Test
    void aQueueThatTheBarrierBringsTakesTheJob() {
        replaceQueues();
        CompletableFuture<JobReply> answer = new CompletableFuture<>();
        new JobRequests(loop.term, (any, action) -> {
                    replaceQueues(Steps.QUEUE);
                    action.run();
                })
                .handle(call(Kind.SUBMIT), answer);
        loop.run(COMMIT_MS);
        assertThat(answer.join().outcome(), is(Outcome.ACCEPTED));
    }

    @Test
    void theNextLeaderFindsTheJobInItsSnapshot() {
        answered(Kind.SUBMIT, "/q/j");
        replaceQueues();
        state.restore(state.snapshot());
        lead();
        assertThat(answered(Kind.SUBMIT, "/q/j").outcome(), is(Outcome.ACCEPTED));
        assertThat(state.jobAt("H", "/q/j").isPresent(), is(true));
    }

    private static JobCall call(Kind kind) {
        return new JobCall(kind, "h", "/q/j", "x", List.of(Steps.plain(1)), Schedule.ONCE);
    }
}
