package org.cornelcove.replication.core;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.cornelcove.model.error.FailureException;
import org.cornelcove.replication.storage.MemberStorage;

/** A member in simulated time with a folder in memory. */
final class SimulatedMember {
    private static final int SEGMENT_BYTES = 2048;

    final long id;
    final MemoryFolder folder = new MemoryFolder();
    final List<String> state = new ArrayList<>();
    private final SimulatedGroup group;
    private final List<Object> diskTasks = new ArrayList<>();
    private final List<Consumer<ReplicaCore>> frozenInputs = new ArrayList<>();
    ReplicaCore core;
    /** Increases at each start and crash; tasks of an earlier epoch are dropped. */
    int epoch;

    boolean frozen;
    boolean retired;
    /** Whether the member gets no ticks, so that it starts no election. */
    boolean passive;
    /** Whether a disk that fails ends the process only, as a full disk does, instead of cutting the power too. */
    boolean keepsUnsynced;

    private MemberStorage storage;
    private double clockRate = 1;
    private long clockOffsetMs;
    private boolean diskBusy;
    private long appliedIndex;

    SimulatedMember(SimulatedGroup group, long id) {
        this.group = group;
        this.id = id;
    }

    boolean alive() {
        return core != null;
    }

    boolean leads() {
        return alive() && core.role() == ReplicaCore.Role.LEADER;
    }

    /** Checks whether it leads with a lease, before whose end no other member can. */
    boolean leased() {
        return leads() && core.leaseEndMs(nowMs()) > nowMs();
    }

    private long nowMs() {
        return clockOffsetMs + (long) (group.nowMs() * clockRate);
    }

    void start(Membership initial) {
        epoch++;
        clockRate = 0.96 + group.random().nextDouble() * 0.08;
        clockOffsetMs = group.random().nextLong(1_000_000);
        state.clear();
        appliedIndex = 0;
        long incarnation = group.mutant() == Mutant.LOST_DISK_UNNOTICED
                ? id
                : group.random().nextLong(1, 1 << 30);
        try {
            storage = MemberStorage.open(folder, id, SEGMENT_BYTES, () -> incarnation);
        } catch (IOException | FailureException e) {
            throw new IllegalStateException("member " + id + " does not start", e);
        }
        core = ReplicaCore.start(group.optionsOf(id), group.mutant().rules(), storage.stored(), initial, nowMs());
        tickLater(epoch);
        pump();
    }

    /** Stops the member as a power failure would: any part of the unsynced writes may be lost. */
    void crash() {
        end();
        folder.crash(group.random());
    }

    /** Stops the member as the end of its process would: a power failure may still lose its unsynced writes. */
    void kill() {
        end();
        folder.endProcess();
    }

    private void end() {
        epoch++;
        core = null;
        frozen = false;
        diskBusy = false;
        diskTasks.clear();
        frozenInputs.clear();
        group.dropRequests(id);
    }

    void thaw() {
        frozen = false;
        List<Consumer<ReplicaCore>> inputs = List.copyOf(frozenInputs);
        frozenInputs.clear();
        inputs.forEach(this::input);
    }

    void input(Consumer<ReplicaCore> step) {
        if (frozen) {
            frozenInputs.add(step);
        } else if (alive()) {
            step.accept(core);
            pump();
        }
    }

    void receive(Envelope message) {
        input(c -> c.receive(nowMs(), message));
    }

    void transfer(long token) {
        input(c -> c.transferLeadership(nowMs(), token));
    }

    private void later(long delayMs, int expectedEpoch, Runnable task) {
        group.later(delayMs, () -> {
            if (epoch == expectedEpoch) {
                task.run();
            }
        });
    }

    private void tickLater(int expectedEpoch) {
        later(20, expectedEpoch, () -> {
            if (!frozen && !passive) {
                input(c -> c.tick(nowMs()));
            }
            if (epoch == expectedEpoch) {
                tickLater(expectedEpoch);
            }
        });
    }

    private void pump() {
        int expectedEpoch = epoch;
        Ready ready = core.drain(nowMs());
        if (leads()) {
            group.history().recordLeader(core.term(), id);
        }
        ready.messages().forEach(m -> group.send(this, m));
        diskTasks.addAll(ready.chunkReads());
        ready.write().ifPresent(w -> {
            diskTasks.add(w);
            if (group.mutant() == Mutant.ACKNOWLEDGES_BEFORE_SYNC && w.chunk().isEmpty()) {
                later(0, expectedEpoch, () -> input(c -> c.written(nowMs(), w.id())));
            }
        });
        startDisk();
        ready.restore().ifPresent(this::restore);
        ready.applies().forEach(this::apply);
        if (ready.restore().isPresent() || !ready.applies().isEmpty()) {
            long index = appliedIndex;
            later(group.random().nextLong(3), expectedEpoch, () -> input(c -> c.applied(index)));
        }
        if (ready.takeSnapshot()) {
            long index = appliedIndex;
            byte[] text = String.join("\n", state).getBytes();
            later(group.random().nextLong(5), expectedEpoch, () -> input(c -> c.snapshotTaken(index, text)));
        }
        ready.events().forEach(this::report);
        group.onStep(Step.DRAINED, this);
    }

    private void report(CoreEvent event) {
        if (event instanceof CoreEvent.LeadershipGained) {
            group.onStep(Step.ELECTED, this);
        } else if (event instanceof CoreEvent.Retired) {
            retired = true;
            crash();
        } else {
            group.answered(event);
        }
    }

    private void restore(SnapshotMeta meta) {
        try {
            String text = new String(storage.snapshotState());
            appliedIndex = meta.index();
            if (group.mutant() != Mutant.SNAPSHOT_NOT_RESTORED) {
                state.clear();
                state.addAll(text.isEmpty() ? List.of() : List.of(text.split("\n")));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void apply(Ready.Apply apply) {
        appliedIndex = apply.entry().index();
        if (apply.entry().kind() == EntryKind.COMMAND) {
            String command = new String(apply.entry().payload());
            state.add(command);
            group.history().recordApplied(id, appliedIndex, command);
            group.acknowledged(apply.token(), command, appliedIndex);
            group.onStep(Step.APPLIED, this);
        } else {
            group.history().recordApplied(id, appliedIndex, apply.entry().kind().name());
            group.onStep(apply.entry().kind() == EntryKind.MEMBERSHIP ? Step.MEMBERS_CHANGED : Step.APPLIED, this);
        }
    }

    private void startDisk() {
        if (!diskBusy && !diskTasks.isEmpty()) {
            diskBusy = true;
            later(group.random().nextLong(group.maxDiskMs), epoch, this::useDisk);
        }
    }

    private void useDisk() {
        int expectedEpoch = epoch;
        group.onStep(Step.WRITING, this);
        if (epoch != expectedEpoch) {
            return;
        }
        List<Object> tasks = List.copyOf(diskTasks);
        diskTasks.clear();
        try {
            long lastId = 0;
            List<Optional<SnapshotMeta>> installs = new ArrayList<>();
            for (Object task : tasks) {
                if (task instanceof DiskWrite w) {
                    storage.write(group.mutant().alter(w)).ifPresent(installs::add);
                    lastId = w.id();
                } else {
                    storage.readChunk((ChunkRead) task).ifPresent(m -> group.send(this, m));
                }
            }
            storage.sync();
            long doneId = lastId;
            later(group.random().nextLong(2), expectedEpoch, () -> diskDone(doneId, installs));
            group.onStep(installs.isEmpty() ? Step.WRITTEN : Step.SNAPSHOT_INSTALLED, this);
        } catch (IOException e) {
            if (keepsUnsynced) {
                kill();
            } else {
                crash();
            }
        }
    }

    private void diskDone(long lastId, List<Optional<SnapshotMeta>> installs) {
        diskBusy = false;
        input(c -> {
            installs.forEach(c::snapshotInstalled);
            c.written(nowMs(), lastId);
        });
        if (alive()) {
            startDisk();
        }
    }
}
