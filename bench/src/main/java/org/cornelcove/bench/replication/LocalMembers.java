package org.cornelcove.bench.replication;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import org.cornelcove.replication.LeadershipListener;
import org.cornelcove.replication.Member;
import org.cornelcove.replication.ReplicaNode;
import org.cornelcove.replication.ReplicaSettings;
import org.cornelcove.replication.StateMachine;
import org.cornelcove.replication.storage.DiskFolder;

/** Members in this process on folders of their own, which hand messages to each other in memory. */
final class LocalMembers implements AutoCloseable {
    private static final LeadershipListener UNHEARD = new LeadershipListener() {
        @Override
        public void leadershipGained(long term) {}

        @Override
        public void leadershipLost(long term) {}
    };

    /** Counts commands. */
    private static final class CountingMachine implements StateMachine {
        private final AtomicLong count = new AtomicLong();

        @Override
        public byte[] apply(long index, byte[] command) {
            count.incrementAndGet();
            return new byte[0];
        }

        @Override
        public byte[] snapshot() {
            return Long.toString(count.get()).getBytes();
        }

        @Override
        public void restore(byte[] snapshot) {
            count.set(Long.parseLong(new String(snapshot)));
        }
    }

    private final Path root;
    private final int size;
    private final UnaryOperator<ReplicaSettings> settings;
    private final Map<Long, ReplicaNode> nodes = new ConcurrentHashMap<>();
    private final Map<Long, CountingMachine> machines = new ConcurrentHashMap<>();

    private LocalMembers(Path root, int size, UnaryOperator<ReplicaSettings> settings) {
        this.root = root;
        this.size = size;
        this.settings = settings;
    }

    static LocalMembers start(int size, UnaryOperator<ReplicaSettings> settings) throws IOException {
        LocalMembers members = new LocalMembers(Files.createTempDirectory("cornelcove-bench"), size, settings);
        members.startAll();
        return members;
    }

    void startAll() throws IOException {
        for (long id = 1; id <= size; id++) {
            start(id);
        }
    }

    void start(long id) throws IOException {
        List<Member> members = new ArrayList<>();
        for (long other = 1; other <= size; other++) {
            members.add(new Member(other, Long.toString(other), true));
        }
        CountingMachine machine = new CountingMachine();
        ReplicaNode node = ReplicaNode.open(
                settings.apply(ReplicaSettings.of(id, Long.toString(id), members)),
                DiskFolder.open(root.resolve(Long.toString(id))),
                this::deliver,
                machine,
                UNHEARD);
        machines.put(id, machine);
        nodes.put(id, node);
    }

    List<ReplicaNode> nodes() {
        return List.copyOf(nodes.values());
    }

    Optional<ReplicaNode> leader() {
        return nodes.values().stream().filter(n -> n.status().leading()).findFirst();
    }

    ReplicaNode awaitLeader() throws InterruptedException {
        while (leader().isEmpty()) {
            Thread.sleep(1);
        }
        return leader().get();
    }

    long appliedCount(ReplicaNode node) {
        return machines.get(node.status().self()).count.get();
    }

    /** Stops a member at once; its messages are lost from this moment on. */
    void kill(long id) {
        nodes.remove(id).kill();
    }

    void killAll() {
        List.copyOf(nodes.keySet()).forEach(this::kill);
    }

    @Override
    public void close() throws IOException {
        killAll();
        try (Stream<Path> files = Files.walk(root)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    private void deliver(String address, byte[] message) {
        ReplicaNode node = nodes.get(Long.parseLong(address));
        if (node != null) {
            node.receive(message);
        }
    }
}
