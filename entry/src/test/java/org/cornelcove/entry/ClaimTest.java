package org.cornelcove.entry;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import org.cornelcove.entry.FakeTarget.Behaviour;
import org.cornelcove.model.command.ClaimOnce;
import org.cornelcove.model.command.ClaimReplayed;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.RecordOutcome;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.request.RecordedAnswer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Tests requests of class once against a ledger that fails. */
class ClaimTest {
    private static CompletableFuture<Outcome> failed(ErrorKind kind, Object... arguments) {
        return CompletableFuture.failedFuture(Failure.of(kind, arguments).asException());
    }

    static Stream<Object[]> claims() {
        UnaryOperator<CompletableFuture<Outcome>> noQuorum = outcome -> failed(ErrorKind.NO_QUORUM);
        UnaryOperator<CompletableFuture<Outcome>> notSent = outcome -> failed(ErrorKind.CALL_NOT_SENT, "x", "y");
        UnaryOperator<CompletableFuture<Outcome>> silent = outcome -> new CompletableFuture<>();
        return Stream.of(
                new Object[] {"no quorum", noQuorum, 503, "unknown"},
                new Object[] {"nothing sent", notSent, 503, "unknown"},
                new Object[] {"answer lost, no release either", silent, 504, "unknown"});
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("claims")
    void nothingRunsWithoutAClaim(String name, UnaryOperator<CompletableFuture<Outcome>> fault, int status, String run)
            throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.ECHO))) {
            rig.control.service = FakeControl.rule(300, 1 << 20, 100);
            rig.open();
            rig.control.onExecute = fault;
            HttpResponse<String> answer = rig.send(rig.post("r1", "once", "k1", "body"));
            assertThat(answer.body(), answer.statusCode(), is(status));
            assertThat(Rig.run(answer), is(run));
            assertThat(rig.targets.get(0).log.size(), is(0));
        }
    }

    @ParameterizedTest
    @CsvSource({"once, unknown", "exclusive, not-run", "safe, not-run"})
    void withoutALeaseAKeyThatMayHaveRunIsNotReportedAsNotRun(String requestClass, String run) throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.ECHO)).open()) {
            assertThat(rig.send(rig.post("r1", requestClass, "k1", "body")).statusCode(), is(200));
            rig.control.reachable = false;
            Rig.await(() -> rig.entry.unreadyReason().isPresent());
            HttpResponse<String> again = rig.send(rig.post("r2", requestClass, "k1", "body"));
            assertThat(again.statusCode(), is(503));
            assertThat(again.headers().firstValue("Retry-After").isPresent(), is(true));
            assertThat(Rig.run(again), is(run));
        }
    }

    @Test
    void aClaimWhoseAnswerIsLostIsRepeatedWithItsNumber() throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.ECHO)).open()) {
            rig.control.onExecute = outcome ->
                    rig.control.commands.size() == 1 ? failed(ErrorKind.PEER_UNREACHABLE, "x", "lost") : outcome;
            assertThat(rig.send(rig.post("r1", "once", "k1", "body")).body(), is("r1|body"));
            assertThat(rig.control.commands.get(1), is(rig.control.commands.get(0)));
            assertThat(rig.targets.get(0).log.size(), is(1));
        }
    }

    /** The key was claimed through an entry that stops; its caller asks here while the leader changes. */
    @Test
    void aClaimWhoseAnswerIsLostGetsTheAnswerOfAnEarlierRun() throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.ECHO)).open()) {
            HttpResponse<String> first = rig.send(rig.post("r1", "once", "k1", "body"));
            int before = rig.control.commands.size();
            rig.control.onExecute = outcome -> rig.control.commands.size() == before + 1
                    ? failed(ErrorKind.PEER_UNREACHABLE, "x", "lost")
                    : outcome;
            HttpResponse<String> again = rig.send(rig.post("r1-again", "once", "k1", "body"));
            assertThat(again.body(), again.statusCode(), is(200));
            assertThat(again.body(), is(first.body()));
            assertThat(rig.targets.get(0).log.size(), is(1));
        }
    }

    @Test
    void aClaimThatStaysUnansweredIsReleasedAndTheKeyRunsLater() throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.ECHO)).open()) {
            rig.control.onExecute = outcome ->
                    rig.control.commands.get(rig.control.commands.size() - 1) instanceof ClaimOnce claim
                                    && claim.claimNumber() == 1
                            ? failed(ErrorKind.CALL_TIMEOUT, "x", 1)
                            : outcome;
            HttpResponse<String> lost = rig.send(rig.post("r1", "once", "k1", "body"));
            assertThat(Rig.run(lost), is("not-run"));
            assertThat(rig.targets.get(0).log.size(), is(0));
            assertThat(rig.send(rig.post("r2", "once", "k1", "body")).body(), is("r2|body"));
        }
    }

    @Test
    void theAnswerIsRecordedBeforeItIsReturned() throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.ECHO)).open()) {
            HttpResponse<String> first = rig.send(rig.post("r1", "once", "k1", "body"));
            assertThat(rig.control.commands.get(0) instanceof ClaimOnce, is(true));
            assertThat(rig.control.commands.get(1) instanceof RecordOutcome, is(true));
            HttpResponse<String> again = rig.send(rig.post("r2", "once", "k1", "body"));
            assertThat(again.body(), is(first.body()));
            assertThat(Rig.run(again), is("done"));
            HttpResponse<String> other = rig.send(rig.post("r3", "once", "k1", "other body"));
            assertThat(other.statusCode(), is(422));
            assertThat(Rig.error(other), is(ErrorKind.KEY_REUSED.number()));
            assertThat(rig.targets.get(0).log.size(), is(1));
        }
    }

    @Test
    void aReplayedAnswerIsComplete() throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.ECHO)).open()) {
            rig.control.onExecute = outcome -> CompletableFuture.completedFuture(
                    new ClaimReplayed(RecordedAnswer.of(201, "text/x-own", "kept".getBytes())));
            HttpResponse<String> answer = rig.send(rig.post("r1", "once", "k1", "body"));
            assertThat(answer.statusCode(), is(201));
            assertThat(answer.headers().firstValue("content-type").orElse(""), is("text/x-own"));
            assertThat(answer.body(), is("kept"));
        }
    }

    @ParameterizedTest
    @CsvSource({"once, unknown", "exclusive, not-run"})
    void aKeyRunsOnceAtATime(String requestClass, String run) throws Exception {
        try (Rig rig = new Rig().with(FakeTarget.start("t1", Behaviour.HOLD)).open()) {
            List<CompletableFuture<HttpResponse<String>>> all = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                all.add(rig.sendAsync(rig.post("r" + i, requestClass, "k1", "body")));
            }
            Rig.await(() -> all.stream().filter(CompletableFuture::isDone).count() == 5);
            rig.targets.get(0).releaseHeld();
            long done = 0;
            for (CompletableFuture<HttpResponse<String>> one : all) {
                done += one.get().statusCode() == 200 ? 1 : 0;
                assertThat(one.get().statusCode() == 200 || one.get().statusCode() == 409, is(true));
                assertThat(one.get().statusCode() == 200 || Rig.run(one.get()).equals(run), is(true));
            }
            assertThat(done, is(1L));
            assertThat(rig.targets.get(0).log.size(), is(1));
        }
    }
}
