package org.cornelcove.work.lead;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.replication.Replica;
import org.cornelcove.replication.ReplicaStatus;
import org.cornelcove.work.Steps;
import org.cornelcove.work.job.WorkerInfo;
import org.cornelcove.work.state.CommandCodec;
import org.cornelcove.work.state.WorkCommand;
import org.cornelcove.work.state.WorkState;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class WorkLeaderTest {
    /** A replica whose proposals end in an error, as when memory runs out. */
    private static final class BrokenReplica implements Replica {
        @Override
        public CompletableFuture<byte[]> propose(byte[] command) {
            throw new StackOverflowError("expected");
        }

        @Override
        public CompletableFuture<byte[]> propose(long term, byte[] command) {
            return propose(command);
        }

        @Override
        public CompletableFuture<Long> readBarrier() {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Void> addMember(long id, String address) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Void> removeMember(long id) {
            return new CompletableFuture<>();
        }

        @Override
        public ReplicaStatus status() {
            throw new UnsupportedOperationException();
        }

        @Override
        public void close() {}
    }

    private static WorkerInfo worker(long sequence) {
        return new WorkerInfo(
                "w",
                1,
                "10.0.0.1:1",
                "z",
                "pool",
                false,
                OptionalLong.empty(),
                0,
                1000,
                1000,
                0,
                List.of(),
                0,
                sequence);
    }

    /** A leader whose loop had died on an error kept its leadership, and nothing was polled or placed any more. */
    @Test
    void aLeaderStopsLeadingAndReportsAnError() throws Exception {
        WorkState state = new WorkState();
        // A heartbeat of a pool without rules proposes nothing.
        state.apply(1, CommandCodec.encode(List.of(new WorkCommand.Configure(Steps.RULES))));
        try (WorkLeader leader = WorkLeader.create(new LeadSettings(5000, 6000, 200, 120_000), new FakeWorkers(null))) {
            leader.gained(1, new BrokenReplica(), state, () -> Long.MAX_VALUE);
            leader.announce(worker(1));
            assertThat(leader.failed().get(10, TimeUnit.SECONDS), instanceOf(StackOverflowError.class));
            ExecutionException thrown = assertThrows(
                    ExecutionException.class, () -> leader.announce(worker(2)).get(10, TimeUnit.SECONDS));
            assertThat(
                    FailureException.carriedBy(thrown.getCause()).orElseThrow().kind(), is(ErrorKind.NOT_LEADER));
        }
    }
}
