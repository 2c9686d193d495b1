package org.cornelcove.work.lead;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.replication.Replica;
import org.cornelcove.replication.ReplicaStatus;
import org.cornelcove.work.Steps;
import org.cornelcove.work.job.WorkRules;
import org.cornelcove.work.state.CommandCodec;
import org.cornelcove.work.state.WorkCommand;
import org.cornelcove.work.state.WorkState;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** A leader whose loop learns late that its term ended, and that the same member leads again. */
class EndedTermTest {
    private static final LeadSettings SETTINGS = new LeadSettings(5000, 6000, 200, 120_000);

    /** A replica whose term changes while a proposal is on its way to it. */
    private static final class SlowReplica implements Replica {
        private static final long ANY_TERM = 0;

        private final CountDownLatch proposed = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);
        private final List<byte[]> appended = new CopyOnWriteArrayList<>();
        private volatile long currentTerm = 1;

        @Override
        public CompletableFuture<byte[]> propose(byte[] command) {
            return propose(ANY_TERM, command);
        }

        @Override
        public CompletableFuture<byte[]> propose(long term, byte[] command) {
            proposed.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            if (term != ANY_TERM && term != currentTerm) {
                return CompletableFuture.failedFuture(Failure.of(ErrorKind.NOT_LEADER, "the leader of the current term")
                        .asException());
            }
            appended.add(command);
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Long> readBarrier() {
            return CompletableFuture.completedFuture(1L);
        }

        @Override
        public CompletableFuture<Void> addMember(long id, String address) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Void> removeMember(long id) {
            throw new UnsupportedOperationException();
        }

        @Override
        public ReplicaStatus status() {
            throw new UnsupportedOperationException();
        }

        @Override
        public void close() {}
    }

    /** Regression test for TWICE: ends that an ended term had inferred were committed in a later term of the same member. */
    @Test
    void anEndedTermProposesNothingInALaterTermOfTheSameMember() throws Exception {
        SlowReplica replica = new SlowReplica();
        WorkState state = new WorkState();
        state.apply(1, CommandCodec.encode(List.of(new WorkCommand.Configure(Steps.RULES))));
        try (WorkLeader leader = WorkLeader.create(SETTINGS, new FakeWorkers(null))) {
            leader.gained(1, replica, state, () -> Long.MAX_VALUE);
            CompletableFuture<Void> change = leader.configure(WorkRules.NONE);
            assertThat(replica.proposed.await(10, TimeUnit.SECONDS), is(true));
            replica.currentTerm = 3;
            leader.lost();
            leader.gained(3, replica, state, () -> Long.MAX_VALUE);
            replica.released.countDown();
            assertThrows(ExecutionException.class, () -> change.get(10, TimeUnit.SECONDS));
            assertThat(replica.appended, empty());
        }
    }
}
