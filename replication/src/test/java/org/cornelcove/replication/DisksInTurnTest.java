package org.cornelcove.replication;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

import org.cornelcove.model.error.FailureException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;

/** Disks that fail for a while, one after another, under members that are opened again whenever they have stopped. */
class DisksInTurnTest {
    private static final int SIZE = 5;
    private static final long FULL_MS = 700;
    private static final long REOPEN_INTERVAL_MS = 50;
    /** By which a change has to be acknowledged while the group is steady. */
    private static final Duration ACK = Duration.ofSeconds(4);

    private final Map<Long, LimitedFolder.Disk> disks = new TreeMap<>();
    private final AtomicInteger refusedOpens = new AtomicInteger();
    private LocalGroup group;
    private Thread maintenance;
    private volatile boolean over;

    @BeforeEach
    void open(@TempDir Path root) throws Exception {
        group = new LocalGroup(root, 20);
        for (long id = 1; id <= SIZE; id++) {
            disks.put(id, new LimitedFolder.Disk());
            start(id);
        }
        maintenance = new Thread(this::reopenStopped, "maintenance");
        maintenance.start();
    }

    @AfterEach
    void close() throws Exception {
        over = true;
        maintenance.join();
        disks.values().forEach(disk -> disk.gate.countDown());
        group.close();
    }

    private void start(long id) throws IOException {
        group.start(id, LocalGroup.members(SIZE), disks.get(id).open(group.folderOf(id)));
    }

    private void reopenStopped() {
        while (!over) {
            for (long id : disks.keySet()) {
                if (group.nodes.get(id).stopped().isDone()) {
                    try {
                        start(id);
                    } catch (IOException | FailureException e) {
                        // Tried again in the next round, as a control host does.
                        refusedOpens.incrementAndGet();
                    }
                }
            }
            try {
                Thread.sleep(REOPEN_INTERVAL_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void change(String command) {
        await().atMost(ACK).pollDelay(Duration.ZERO).until(() -> group.nodes.values().stream()
                .anyMatch(node -> node.status().leading() && accepted(node, command)));
    }

    private static boolean accepted(ReplicaNode node, String command) {
        try {
            node.propose(command.getBytes()).get(ACK.toMillis(), TimeUnit.MILLISECONDS);
            return true;
        } catch (ExecutionException | TimeoutException e) {
            return false;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards against a group that takes no changes after each disk was full once, although all processes run. */
    @ParameterizedTest
    @CsvSource({"false,false", "true,false", "false,true", "true,true"})
    void changesAreTakenAfterEachDiskWasFull(boolean leaderFirst, boolean failsOnClose) throws Exception {
        List<String> changes = new ArrayList<>();
        List<Long> turns = new ArrayList<>(disks.keySet());
        while (!turns.isEmpty()) {
            long leader = group.leader().status().self();
            long id = leaderFirst && turns.contains(leader) ? leader : turns.get(0);
            turns.remove(id);
            LimitedFolder.Disk disk = disks.get(id);
            disk.failsOnClose = failsOnClose;
            disk.full = true;
            for (int i = 0; i < 25; i++) {
                changes.add("change " + id + '.' + i);
                change(changes.get(changes.size() - 1));
            }
            Thread.sleep(FULL_MS);
            disk.full = false;
            Thread.sleep(FULL_MS);
        }
        changes.add("last");
        change("last");
        await().atMost(ACK).until(() -> group.machines.values().stream()
                .allMatch(machine -> machine.commands.containsAll(changes)));
        assertThat(
                group.nodes.values().stream()
                        .filter(node -> node.stopped().isDone())
                        .toList(),
                empty());
    }

    /** Guards against a member that stays away for good, since its folder stayed locked when its disk stood still. */
    @Test
    void aMemberIsOpenedAgainAfterItsDiskStoodStillBeyondTheStop() throws Exception {
        long id = group.leader().status().self() % SIZE + 1;
        LimitedFolder.Disk disk = disks.get(id);
        ReplicaNode stalled = group.nodes.get(id);
        disk.gate = new CountDownLatch(1);
        change("a");
        await().until(() -> group.nodes.values().stream()
                .filter(node -> node != stalled)
                .allMatch(node -> node.status().commitIndex() > stalled.status().appliedIndex()));
        stalled.kill();
        await("its folder is locked").until(() -> refusedOpens.get() > 0);
        disk.gate.countDown();
        await().atMost(ACK)
                .until(() -> group.nodes.get(id) != stalled
                        && group.machines.get(id).commands.contains("a"));
        assertThat(
                group.nodes.values().stream()
                        .map(node -> node.stopped().isDone())
                        .toList(),
                everyItem(is(false)));
    }
}
