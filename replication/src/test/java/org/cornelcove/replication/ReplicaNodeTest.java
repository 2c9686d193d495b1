package org.cornelcove.replication;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

import org.awaitility.Awaitility;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.replication.core.MemoryFolder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

class ReplicaNodeTest {
    @TempDir
    private Path folder;

    @ParameterizedTest(name = "{0} members, snapshot every {1} entries")
    @CsvSource({"1, 1000", "1, 7", "3, 1000", "3, 7"})
    void commandsSurviveARestartOfAll(int size, long snapshotEveryEntries) throws Exception {
        List<String> commands = new ArrayList<>();
        for (int restart = 0; restart < 3; restart++) {
            try (LocalGroup group = new LocalGroup(folder, snapshotEveryEntries)) {
                for (long id = 1; id <= size; id++) {
                    group.start(id, LocalGroup.members(size));
                }
                for (int i = 0; i < 20; i++) {
                    commands.add(restart + "-" + i);
                    group.propose(restart + "-" + i);
                }
                group.machines.values().forEach(m -> Awaitility.await().until(() -> m.commands.equals(commands)));
            }
        }
    }

    @Test
    void anotherMemberBecomesLeaderWhenTheLeaderFails() throws Exception {
        try (LocalGroup group = new LocalGroup(folder, 1000)) {
            for (long id = 1; id <= 3; id++) {
                group.start(id, LocalGroup.members(3));
            }
            group.propose("a");
            group.kill(group.leader().status().self());
            group.propose("b");
            group.leader().readBarrier().get();
            assertThat(group.machines.get(group.leader().status().self()).commands, is(equalTo(List.of("a", "b"))));
        }
    }

    @Test
    void aLearnerIsPromotedAndTheOldMemberRemoved() throws Exception {
        try (LocalGroup group = new LocalGroup(folder, 7)) {
            for (long id = 1; id <= 3; id++) {
                group.start(id, LocalGroup.members(3));
            }
            for (int i = 0; i < 30; i++) {
                group.propose("c" + i);
            }
            long removed = group.leader().status().self() == 1 ? 2 : 1;
            group.kill(removed);
            group.leader().removeMember(removed).get();
            group.start(4, List.of());
            group.leader().addMember(4, LocalGroup.addressOf(4)).get();
            group.kill(group.leader().status().self());
            group.propose("last");
            Awaitility.await().until(() -> group.machines.get(4L).commands.size() == 31);
        }
    }

    @Test
    void theLeaderReportsWhichFollowerIsSilentAndHowFarBehind() throws Exception {
        try (LocalGroup group = new LocalGroup(folder, 1000)) {
            for (long id = 1; id <= 3; id++) {
                group.start(id, LocalGroup.members(3));
            }
            group.propose("a");
            long stopped = group.leader().status().self() == 1 ? 2 : 1;
            group.kill(stopped);
            Awaitility.await()
                    .until(() -> reported(group, stopped, MemberProgress::silent)
                            && reported(group, other(group, stopped), member -> !member.silent()));
            group.propose("b");
            group.propose("c");
            Awaitility.await().until(() -> reported(group, stopped, member -> member.behindEntries() >= 2));
            group.start(stopped, LocalGroup.members(3));
            Awaitility.await()
                    .until(() -> reported(group, stopped, member -> !member.silent() && member.behindEntries() == 0));
            for (ReplicaNode node : group.nodes.values()) {
                ReplicaStatus status = node.status();
                if (!status.leading()) {
                    assertThat(status.progress(), is(List.of()));
                }
            }
        }
    }

    /** Returns the member that neither leads nor is the given one. */
    private static long other(LocalGroup group, long id) {
        return 6 - group.leader().status().self() - id;
    }

    /** Returns whether the leader, which may change on a busy machine, reports what is expected of a member. */
    private static boolean reported(LocalGroup group, long id, Predicate<MemberProgress> expected) {
        return group.leader().status().progress().stream()
                .filter(member -> member.id() == id)
                .anyMatch(expected);
    }

    @ParameterizedTest(name = "only syncs fail: {0}")
    @ValueSource(booleans = {true, false})
    void aMemberWhoseDiskFailsStopsAndAcknowledgesNothing(boolean onlySyncs) throws Exception {
        MemoryFolder disk = new MemoryFolder();
        ReplicaNode node = ReplicaNode.open(
                ReplicaSettings.of(1, LocalGroup.addressOf(1), LocalGroup.members(1)),
                disk,
                (address, message) -> {},
                new LocalGroup.TextMachine(),
                LocalGroup.NO_OP_LISTENER);
        Awaitility.await().until(() -> node.status().leading());
        node.propose(new byte[1]).get();
        disk.failAfter(0, onlySyncs);
        ExecutionException thrown = assertThrows(
                ExecutionException.class, () -> node.propose(new byte[1]).get());
        assertThat(((FailureException) thrown.getCause()).failure().kind(), is(ErrorKind.PROPOSAL_OUTCOME_UNKNOWN));
        assertThat(node.stopped().get().get().kind(), is(ErrorKind.STORAGE_FAILED));
    }

    @Test
    void aMemberWhoseSyncHangsCanBeClosedAndAcknowledgesNothing() throws Exception {
        MemoryFolder disk = new MemoryFolder();
        ReplicaNode node = ReplicaNode.open(
                ReplicaSettings.of(1, LocalGroup.addressOf(1), LocalGroup.members(1)),
                disk,
                (address, message) -> {},
                new LocalGroup.TextMachine(),
                LocalGroup.NO_OP_LISTENER);
        Awaitility.await().until(() -> node.status().leading());
        CountDownLatch resumeSyncs = new CountDownLatch(1);
        disk.hangSyncs(resumeSyncs);
        CompletableFuture<byte[]> proposal = node.propose(new byte[1]);
        CompletableFuture<Void> closed = CompletableFuture.runAsync(node::close);
        Awaitility.await().until(closed::isDone);
        ExecutionException thrown = assertThrows(ExecutionException.class, proposal::get);
        assertThat(((FailureException) thrown.getCause()).failure().kind(), is(ErrorKind.PROPOSAL_OUTCOME_UNKNOWN));
        resumeSyncs.countDown();
    }

    @Test
    void aMemberWhoseSyncHangsStopsByItself() throws Exception {
        MemoryFolder disk = new MemoryFolder();
        AtomicLong nowMs = new AtomicLong();
        AtomicLong stepMs = new AtomicLong(1);
        ReplicaNode node = ReplicaNode.open(
                ReplicaSettings.of(1, LocalGroup.addressOf(1), LocalGroup.members(1)),
                disk,
                (address, message) -> {},
                new LocalGroup.TextMachine(),
                LocalGroup.NO_OP_LISTENER,
                () -> nowMs.addAndGet(stepMs.get()));
        Awaitility.await().until(() -> node.status().leading());
        CountDownLatch resumeSyncs = new CountDownLatch(1);
        disk.hangSyncs(resumeSyncs);
        node.propose(new byte[1]);
        stepMs.set(1_000);
        Awaitility.await().until(node.stopped()::isDone);
        assertThat(node.stopped().get().get().kind(), is(ErrorKind.STORAGE_FAILED));
        resumeSyncs.countDown();
    }

    @Test
    void aStateMachineThatFailsStopsTheMember() throws Exception {
        ReplicaNode node = ReplicaNode.open(
                ReplicaSettings.of(1, LocalGroup.addressOf(1), LocalGroup.members(1)),
                new MemoryFolder(),
                (address, message) -> {},
                new LocalGroup.TextMachine() {
                    @Override
                    public byte[] apply(long index, byte[] command) {
                        throw new StackOverflowError();
                    }
                },
                LocalGroup.NO_OP_LISTENER);
        Awaitility.await().until(() -> node.status().leading());
        assertThrows(ExecutionException.class, () -> node.propose(new byte[1]).get());
        assertThat(node.stopped().get().get().kind(), is(ErrorKind.INTERNAL));
    }

    /** Regression test for TWICE: what was decided in an ended term was appended when the same member led again. */
    @Test
    void aCommandOfAnEndedTermIsNotAppendedWhenTheMemberLeadsAgain() throws Exception {
        try (LocalGroup group = new LocalGroup(folder, 1000)) {
            for (long id = 1; id <= 3; id++) {
                group.start(id, LocalGroup.members(3));
            }
            group.propose("a");
            ReplicaNode first = group.leader();
            long term = first.status().term();
            first.transferLeadership().get();
            Awaitility.await().until(() -> {
                ReplicaNode leader = group.leader();
                if (leader != first) {
                    // Either another member takes over, or it stays the leader and is asked again.
                    leader.transferLeadership().handle((done, thrown) -> done).get();
                }
                return first.status().leading() && first.status().term() > term;
            });
            group.propose("b");
            ExecutionException thrown = assertThrows(ExecutionException.class, () -> first.propose(term, new byte[1])
                    .get());
            assertThat(((FailureException) thrown.getCause()).failure().kind(), is(ErrorKind.NOT_LEADER));
            assertThat(first.leaseEndMs(term), is(lessThan(0L)));
            group.propose("c");
            assertThat(group.machines.get(first.status().self()).commands, is(equalTo(List.of("a", "b", "c"))));
        }
    }

    @Test
    void aPlannedStopTransfersLeadership() throws Exception {
        try (LocalGroup group = new LocalGroup(folder, 1000)) {
            for (long id = 1; id <= 3; id++) {
                group.start(id, LocalGroup.members(3));
            }
            group.propose("a");
            ReplicaNode old = group.leader();
            old.transferLeadership().get();
            assertThat(old.status().leading(), is(false));
            group.nodes.remove(old.status().self()).close();
            group.propose("b");
        }
    }
}
