package org.cornelcove.daemon.call;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.replication.Member;
import org.cornelcove.replication.ReplicaStatus;
import org.cornelcove.wire.Call;
import org.cornelcove.wire.CallClient;
import org.cornelcove.wire.CallHandlers;
import org.cornelcove.wire.CallServer;
import org.cornelcove.wire.LeaderRouter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class LeaderRouterTest {
    private static final Call<String, String> CALL = Call.of("call", String.class, String.class);
    private static final long LONG_MS = 20_000;

    private final List<CallServer> servers = new ArrayList<>();
    private final List<String> addresses = new ArrayList<>();
    private final AtomicInteger executed = new AtomicInteger();
    private final CallClient client = CallClient.create();
    private final LeaderRouter router = LeaderRouter.create(client, () -> addresses);

    @AfterEach
    void close() {
        client.close();
        servers.forEach(CallServer::close);
    }

    @ParameterizedTest
    @CsvSource({"NOT_LEADER, true", "CALL_NOT_SENT, true", "CALL_TIMEOUT, false", "INTERNAL, false"})
    void onlyACallThatWasCertainlyNotExecutedIsRetriedOnTheNextHost(ErrorKind first, boolean retried) {
        host(first);
        host(null);
        CompletableFuture<String> answer = router.call(CALL, "hello", LONG_MS);
        if (retried) {
            assertThat(answer.join(), is("hello"));
        } else {
            assertThat(kindOf(answer), is(first));
        }
        assertThat(executed.get(), is(retried ? 1 : 0));
    }

    @Test
    void theHostThatAnsweredIsCalledFirstNextTime() {
        host(ErrorKind.NOT_LEADER);
        host(null);
        router.call(CALL, "one", LONG_MS).join();
        servers.get(0).close();
        assertThat(router.call(CALL, "two", LONG_MS).join(), is("two"));
    }

    @Test
    void aReadSkipsAHostThatDoesNotAnswer() {
        hangingHost();
        host(null);
        assertThat(router.read(CALL, "hello", 3_000).join(), is("hello"));
    }

    @Test
    void aReadThatNoHostAnswersFailsWithNoQuorum() {
        hangingHost();
        hangingHost();
        assertThat(kindOf(router.read(CALL, "hello", 300)), is(ErrorKind.NO_QUORUM));
    }

    @Test
    void aCallWithoutAnswerTimesOutAndIsNotRetried() {
        hangingHost();
        host(null);
        assertThat(kindOf(router.call(CALL, "hello", 300)), is(ErrorKind.CALL_TIMEOUT));
        assertThat(executed.get(), is(0));
    }

    @Test
    void withoutAnyHostACallFailsWithNoQuorum() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            addresses.add("127.0.0.1:" + free.getLocalPort());
        }
        assertThat(kindOf(router.call(CALL, "hello", 200)), is(ErrorKind.NO_QUORUM));
    }

    @Test
    void reportedControlHostsPrecedeTheConfiguredOnes() {
        ControlAddresses known = ControlAddresses.of(List.of("127.0.0.1:1", "127.0.0.1:2"));
        known.updateMembers(new ReplicaStatus(
                2,
                Optional.of(2L),
                true,
                1,
                0,
                0,
                0,
                List.of(new Member(2, "127.0.0.1:2", true), new Member(4, "127.0.0.1:4", true)),
                List.of()));
        assertThat(known.get(), is(List.of("127.0.0.1:2", "127.0.0.1:4", "127.0.0.1:1")));
        known.close();
    }

    private void host(ErrorKind failure) {
        CallHandlers handlers = CallHandlers.create().answer(CALL, text -> {
            if (failure != null) {
                throw Failure.of(failure, "x", "y").asException();
            }
            executed.incrementAndGet();
            return CompletableFuture.completedFuture(text);
        });
        serve(handlers);
    }

    /** Adds a host that accepts connections and never answers. */
    private void hangingHost() {
        serve(CallHandlers.create().answer(CALL, text -> new CompletableFuture<>()));
    }

    private void serve(CallHandlers handlers) {
        CallServer server = CallServer.open(new InetSocketAddress("127.0.0.1", 0), handlers);
        servers.add(server);
        addresses.add("127.0.0.1:" + server.address().getPort());
    }

    private static ErrorKind kindOf(CompletableFuture<?> answer) {
        Throwable thrown = assertThrows(CompletionException.class, answer::join);
        return ((FailureException) thrown.getCause()).failure().kind();
    }

    @Test
    void aRepeatedCallWaitsForAHostAndFailsWithNoQuorumWithoutOne() {
        assertThat(kindOf(router.repeat(CALL, "hello", 200, 100)), is(ErrorKind.NO_QUORUM));
        CompletableFuture<LeaderRouter.Repeated<String>> answer = router.repeat(CALL, "hello", LONG_MS, 100);
        host(null);
        assertThat(answer.join().answer(), is("hello"));
        assertThat(answer.join().earlierInDoubt(), is(false));
    }

    @ParameterizedTest
    @CsvSource({"NOT_LEADER, false", "CALL_NOT_SENT, false", "CALL_TIMEOUT, true", "PROPOSAL_OUTCOME_UNKNOWN, true"})
    void theAnswerToARepeatedCallTellsWhetherAnEarlierAttemptIsInDoubt(ErrorKind first, boolean inDoubt) {
        host(first);
        host(null);
        assertThat(
                router.repeat(CALL, "hello", LONG_MS, LONG_MS).join(),
                is(new LeaderRouter.Repeated<>("hello", inDoubt)));
    }

    @ParameterizedTest
    @CsvSource({"NOT_LEADER, NO_QUORUM", "CALL_TIMEOUT, PROPOSAL_OUTCOME_UNKNOWN"})
    void aRepeatedCallThatMayHaveBeenExecutedNeverFailsWithNoQuorum(ErrorKind first, ErrorKind expected) {
        host(first);
        assertThat(kindOf(router.repeat(CALL, "hello", 3000, 2500)), is(expected));
    }
}
