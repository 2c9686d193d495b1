package org.cornelcove.replication;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.awaitility.Awaitility;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.replication.storage.DataFolder;
import org.cornelcove.replication.storage.DiskFolder;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Members in one process, with real disks and threads, that deliver messages to each other by direct calls. */
final class LocalGroup implements AutoCloseable {
    /** Records all commands; a snapshot consists of the commands as lines. */
    static class TextMachine implements StateMachine {
        final List<String> commands = new CopyOnWriteArrayList<>();

        @Override
        public byte[] apply(long index, byte[] command) {
            commands.add(new String(command, StandardCharsets.UTF_8));
            return command;
        }

        @Override
        public byte[] snapshot() {
            return String.join("\n", commands).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public void restore(byte[] snapshot) {
            commands.clear();
            commands.addAll(List.of(new String(snapshot, StandardCharsets.UTF_8).split("\n")));
        }
    }

    static final LeadershipListener NO_OP_LISTENER = new LeadershipListener() {
        @Override
        public void leadershipGained(long term) {}

        @Override
        public void leadershipLost(long term) {}
    };

    final Map<Long, ReplicaNode> nodes = new ConcurrentHashMap<>();
    final Map<Long, TextMachine> machines = new ConcurrentHashMap<>();
    private final Path root;
    private final long snapshotEveryEntries;
    private final AtomicInteger leadershipLosses = new AtomicInteger();
    private final LeadershipListener lossCounter = new LeadershipListener() {
        @Override
        public void leadershipGained(long term) {}

        @Override
        public void leadershipLost(long term) {
            leadershipLosses.incrementAndGet();
        }
    };

    LocalGroup(Path root, long snapshotEveryEntries) {
        this.root = root;
        this.snapshotEveryEntries = snapshotEveryEntries;
    }

    static List<Member> members(int count) {
        List<Member> members = new ArrayList<>();
        for (long id = 1; id <= count; id++) {
            members.add(new Member(id, addressOf(id), true));
        }
        return members;
    }

    static String addressOf(long id) {
        return "127.0.0.1:" + id;
    }

    ReplicaNode start(long id, List<Member> initialMembers) throws IOException {
        return start(id, initialMembers, DiskFolder.open(folderOf(id)));
    }

    Path folderOf(long id) {
        return root.resolve("member" + id);
    }

    ReplicaNode start(long id, List<Member> initialMembers, DataFolder folder) {
        TextMachine machine = new TextMachine();
        ReplicaNode node = ReplicaNode.open(
                ReplicaSettings.of(id, addressOf(id), initialMembers).withSnapshotEveryEntries(snapshotEveryEntries),
                folder,
                this::deliver,
                machine,
                lossCounter);
        machines.put(id, machine);
        nodes.put(id, node);
        return node;
    }

    void kill(long id) {
        nodes.remove(id).kill();
    }

    /** Proposes the command until a leader accepts it. */
    void propose(String command) {
        Awaitility.await()
                .pollDelay(Duration.ZERO)
                .pollInterval(Duration.ofMillis(10))
                .until(() -> nodes.values().stream().anyMatch(node -> accepted(node, command)));
    }

    ReplicaNode leader() {
        return Awaitility.await()
                .until(
                        () -> nodes.values().stream()
                                .filter(n -> n.status().leading())
                                .findFirst()
                                .orElse(null),
                        node -> node != null);
    }

    private boolean accepted(ReplicaNode node, String command) {
        int lossesBefore = leadershipLosses.get();
        try {
            node.propose(command.getBytes(StandardCharsets.UTF_8)).get();
            return true;
        } catch (ExecutionException e) {
            if (kindOf(e) == ErrorKind.PROPOSAL_OUTCOME_UNKNOWN) {
                // Only a member that loses the leadership meanwhile may leave the outcome open.
                Awaitility.await().until(() -> leadershipLosses.get() > lossesBefore);
                return committed(command);
            }
            assertThat(kindOf(e), is(ErrorKind.NOT_LEADER));
            return false;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static ErrorKind kindOf(ExecutionException e) {
        return ((FailureException) e.getCause()).failure().kind();
    }

    /** Returns whether the next leader has a command whose outcome is unknown; if it has not, nobody will commit it. */
    private boolean committed(String command) {
        AtomicBoolean found = new AtomicBoolean();
        Awaitility.await().until(() -> {
            ReplicaNode leader = leader();
            try {
                leader.readBarrier().get();
            } catch (ExecutionException e) {
                assertThat(kindOf(e), is(ErrorKind.NOT_LEADER));
                return false;
            }
            found.set(machines.get(leader.status().self()).commands.contains(command));
            return true;
        });
        return found.get();
    }

    private void deliver(String address, byte[] message) {
        long id = Long.parseLong(address.substring(address.indexOf(':') + 1));
        ReplicaNode node = nodes.get(id);
        if (node != null) {
            node.receive(message);
        }
    }

    @Override
    public void close() {
        List.copyOf(nodes.keySet()).forEach(this::kill);
    }
}
