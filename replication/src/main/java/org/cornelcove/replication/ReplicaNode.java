package org.cornelcove.replication;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import java.util.function.LongPredicate;
import java.util.function.LongSupplier;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.error.FailureException;
import org.cornelcove.replication.core.CoreEvent;
import org.cornelcove.replication.core.Envelope;
import org.cornelcove.replication.core.MessageCodec;
import org.cornelcove.replication.core.Outgoing;
import org.cornelcove.replication.core.Ready;
import org.cornelcove.replication.core.ReplicaCore;
import org.cornelcove.replication.core.SnapshotMeta;
import org.cornelcove.replication.storage.DataFolder;
import org.cornelcove.replication.storage.MemberStorage;

/**
 * A member of the replication group: runs a {@link ReplicaCore} and the threads around it.
 *
 * <p>One thread owns the core and processes the tasks in its inbox; it never waits for the disk, the network or the
 * state machine. The {@link DiskWorker} performs writes, the {@link Applier} calls the state machine. Both report
 * completion to the core through the inbox.
 *
 * <p>A member whose disk fails or stalls stops: it no longer responds, and {@link #stopped()} gives the reason. Futures
 * are completed on the applier's or the core's thread; dependent stages must not block.
 */
public final class ReplicaNode implements Replica {
    private record Lease(long term, long endMs) {}

    private static final System.Logger LOG = System.getLogger(ReplicaNode.class.getName());
    private static final long LEADERSHIP_TRANSFER_TIMEOUT_MS = 1000;
    /** The end of a lease that was never granted. */
    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final ReplicaSettings settings;
    private final DataFolder folder;
    private final MemberStorage storage;
    private final PeerTransport transport;
    private final LeadershipListener listener;
    private final LongSupplier nowMs;
    private final ReplicaCore core;
    private final BlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
    private final PendingRequests pending = new PendingRequests();
    private final AtomicLong malformedMessageCount = new AtomicLong();
    private final AtomicLong failedSendCount = new AtomicLong();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final CompletableFuture<Optional<Failure>> stopped = new CompletableFuture<>();
    private final DiskWorker disk;
    private final DiskStallDetector stallDetector;
    private final Applier applier;
    private final Thread thread;
    private volatile ReplicaStatus status;
    private volatile Lease lease = new Lease(0, NEVER_MS);
    /** The term in which the listener was last notified of leadership gained; 0 if none or if lost since. */
    private volatile long announcedTerm;

    private ReplicaNode(
            ReplicaSettings settings,
            DataFolder folder,
            MemberStorage storage,
            PeerTransport transport,
            StateMachine machine,
            LeadershipListener listener,
            LongSupplier nowMs) {
        this.settings = settings;
        this.folder = folder;
        this.storage = storage;
        this.transport = transport;
        this.listener = listener;
        this.nowMs = nowMs;
        this.core = ReplicaCore.start(
                settings.coreOptions(), storage.stored(), settings.initialMembership(), nowMs.getAsLong());
        String name = "replica-" + settings.selfId();
        this.disk = new DiskWorker(storage, settings.maxBatch(), new DiskListener(), name + "-disk");
        this.stallDetector = new DiskStallDetector(settings.tickMs());
        this.applier = new Applier(machine, new ApplierListener(), name + "-apply");
        this.thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.setUncaughtExceptionHandler((t, cause) -> stop(Optional.of(Failure.of(ErrorKind.INTERNAL, cause))));
        this.status = ReplicaStatus.of(settings.selfId(), core, nowMs.getAsLong());
    }

    /**
     * Starts a member.
     *
     * @param settings the settings of the member
     * @param folder its data folder, closed when the member stops or fails to start
     * @param transport sends its messages; received messages have to be passed to {@link #receive}
     * @param machine the state machine to which the log is applied, in its empty state
     * @param listener is notified of changes of its leadership
     * @return the member; fails with kind {@code LOG_DAMAGED}, {@code SNAPSHOT_DAMAGED}, {@code SETTING_INVALID} or
     *     {@code STORAGE_FAILED}
     */
    public static ReplicaNode open(
            ReplicaSettings settings,
            DataFolder folder,
            PeerTransport transport,
            StateMachine machine,
            LeadershipListener listener) {
        return open(
                settings, folder, transport, machine, listener, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    }

    /**
     * Starts a member on a given clock.
     *
     * @param settings the settings of the member
     * @param folder its data folder, closed when the member stops or fails to start
     * @param transport sends its messages; received messages have to be passed to {@link #receive}
     * @param machine the state machine to which the log is applied, in its empty state
     * @param listener is notified of changes of its leadership
     * @param nowMs a monotonic clock in milliseconds
     * @return the member; fails with the same kinds as the overload without a clock
     */
    public static ReplicaNode open(
            ReplicaSettings settings,
            DataFolder folder,
            PeerTransport transport,
            StateMachine machine,
            LeadershipListener listener,
            LongSupplier nowMs) {
        try {
            MemberStorage storage = MemberStorage.open(
                    folder, settings.selfId(), settings.segmentBytes(), new SecureRandom()::nextLong);
            ReplicaNode node = new ReplicaNode(settings, folder, storage, transport, machine, listener, nowMs);
            node.start();
            return node;
        } catch (IOException e) {
            closeQuietly(folder);
            throw Failure.of(ErrorKind.STORAGE_FAILED, e.getMessage()).asException();
        } catch (RuntimeException e) {
            closeQuietly(folder);
            throw e;
        }
    }

    private static void closeQuietly(DataFolder folder) {
        try {
            folder.close();
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "failed to close the data folder: {0}", e.getMessage());
        }
    }

    @Override
    public CompletableFuture<byte[]> propose(byte[] command) {
        return propose(command, term -> true);
    }

    @Override
    public CompletableFuture<byte[]> propose(long term, byte[] command) {
        return propose(command, current -> current == term);
    }

    private CompletableFuture<byte[]> propose(byte[] command, LongPredicate inTerm) {
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        long token = pending.addProposal(result);
        submit(() -> {
            if (inTerm.test(core.term())) {
                core.propose(token, command);
            } else {
                pending.fail(token, Failure.of(ErrorKind.NOT_LEADER, "the leader of the current term"));
            }
        });
        return result;
    }

    @Override
    public CompletableFuture<Long> readBarrier() {
        return request(token -> core.readBarrier(token));
    }

    @Override
    public CompletableFuture<Void> addMember(long id, String address) {
        return request(token -> core.addMember(token, id, address)).thenApply(index -> null);
    }

    @Override
    public CompletableFuture<Void> removeMember(long id) {
        return request(token -> core.removeMember(token, id)).thenApply(index -> null);
    }

    /**
     * Transfers leadership to the member with the most up-to-date log.
     *
     * @return completes once this member is no longer leader; fails with kind {@code NO_QUORUM} if no other member took
     *     over in time, and if one was asked to, this member then stops leading too
     */
    public CompletableFuture<Void> transferLeadership() {
        return request(token -> core.transferLeadership(nowMs.getAsLong(), token))
                .thenApply(index -> null);
    }

    /**
     * Handles a message from another member. Malformed messages are counted and discarded.
     *
     * @param message the encoded message, as the sender passed it to {@link PeerTransport#send}
     */
    public void receive(byte[] message) {
        Envelope envelope;
        try {
            envelope = MessageCodec.decode(message);
        } catch (FailureException e) {
            malformedMessageCount.incrementAndGet();
            return;
        }
        submit(() -> core.receive(nowMs.getAsLong(), envelope));
    }

    @Override
    public ReplicaStatus status() {
        return status;
    }

    /**
     * Returns the end of the leader lease in a term, before which no other member can be leader.
     *
     * @param term the term
     * @return the time in ms on the clock of this member; a time in the past if it is not leader in this term
     */
    public long leaseEndMs(long term) {
        Lease current = lease;
        return current.term == term ? current.endMs : NEVER_MS;
    }

    /**
     * Returns the number of received messages that could not be decoded.
     *
     * @return the count since the start
     */
    public long malformedMessageCount() {
        return malformedMessageCount.get();
    }

    /**
     * Returns the number of messages for which the transport threw an exception; they count as lost.
     *
     * @return the count since the start
     */
    public long failedSendCount() {
        return failedSendCount.get();
    }

    /**
     * Returns a future that completes when this member has stopped.
     *
     * @return the reason; empty if the stop was requested, else of kind {@code STORAGE_FAILED},
     *     {@code MEMBER_RETIRED} or {@code INTERNAL}
     */
    public CompletableFuture<Optional<Failure>> stopped() {
        return stopped.copy();
    }

    /** Transfers leadership if this member is leader, then stops. */
    @Override
    public void close() {
        if (status.leading() && status.members().size() > 1 && !stopping.get()) {
            transferLeadershipBeforeStop();
        }
        kill();
    }

    /** Stops at once without transferring leadership, as in a crash, but ends the threads and releases the folder. */
    public void kill() {
        stop(Optional.empty());
        stopped.join();
    }

    private void transferLeadershipBeforeStop() {
        try {
            transferLeadership().get(LEADERSHIP_TRANSFER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "member {0} stops without having transferred its leadership",
                    settings.selfId());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Core thread

    private void start() {
        disk.start();
        applier.start();
        thread.start();
    }

    private void run() {
        List<Runnable> batch = new ArrayList<>();
        long tickDueMs = nowMs.getAsLong();
        try {
            while (!stopping.get()) {
                long waitMs = Math.max(0, tickDueMs - nowMs.getAsLong());
                Runnable first = inbox.poll(waitMs, TimeUnit.MILLISECONDS);
                if (first != null) {
                    batch.add(first);
                    inbox.drainTo(batch, settings.maxBatch() - 1);
                    batch.forEach(Runnable::run);
                    batch.clear();
                }
                long now = nowMs.getAsLong();
                if (now >= tickDueMs) {
                    core.tick(now);
                    stopIfDiskStalled();
                    tickDueMs = now + settings.tickMs();
                }
                Ready ready = core.drain(now);
                status = ReplicaStatus.of(settings.selfId(), core, now);
                lease = new Lease(core.term(), core.leaseEndMs(now));
                processReady(ready);
            }
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "member " + settings.selfId() + " failed", e);
            stop(Optional.of(Failure.of(ErrorKind.INTERNAL, e.toString())));
        } catch (InterruptedException e) {
            stop(Optional.of(Failure.of(ErrorKind.INTERNAL, "interrupted")));
        }
    }

    private void stopIfDiskStalled() {
        if (stallDetector.tick(disk.currentBatch())) {
            String reason = "a write or fsync took more than " + DiskStallDetector.LIMIT_MS + " ms";
            stop(Optional.of(Failure.of(ErrorKind.STORAGE_FAILED, reason)));
        }
    }

    private void processReady(Ready ready) {
        ready.messages().forEach(this::send);
        ready.chunkReads().forEach(disk::read);
        ready.write().ifPresent(disk::write);
        ready.restore().ifPresent(meta -> applier.restore(meta.index(), disk.readState()));
        if (!ready.applies().isEmpty()) {
            applier.apply(ready.applies());
        }
        if (ready.takeSnapshot()) {
            applier.takeSnapshot();
        }
        ready.events().forEach(this::handleEvent);
    }

    private void send(Outgoing message) {
        try {
            transport.send(message.address(), MessageCodec.encode(message.envelope()));
        } catch (RuntimeException e) {
            failedSendCount.incrementAndGet();
        }
    }

    private void handleEvent(CoreEvent event) {
        if (event instanceof CoreEvent.RequestDone done) {
            pending.complete(done.token(), done.index());
        } else if (event instanceof CoreEvent.RequestFailed failed) {
            pending.fail(failed.token(), failed.failure());
        } else if (event instanceof CoreEvent.LeadershipGained gained) {
            LOG.log(System.Logger.Level.INFO, "member {0} became leader in term {1}", settings.selfId(), gained.term());
            announcedTerm = gained.term();
            listener.leadershipGained(gained.term());
        } else if (event instanceof CoreEvent.LeadershipLost lost) {
            LOG.log(System.Logger.Level.INFO, "member {0} is no longer leader", settings.selfId());
            announcedTerm = 0;
            listener.leadershipLost(lost.term());
        } else {
            stop(Optional.of(Failure.of(ErrorKind.MEMBER_RETIRED, settings.selfId())));
        }
    }

    // Requests

    private CompletableFuture<Long> request(LongConsumer operation) {
        CompletableFuture<Long> result = new CompletableFuture<>();
        long token = pending.add(result);
        submit(() -> operation.accept(token));
        return result;
    }

    private void submit(Runnable task) {
        inbox.add(task);
        if (stopped.isDone()) {
            pending.failAll();
        }
    }

    // Shutdown

    private void stop(Optional<Failure> cause) {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        cause.ifPresent(f -> LOG.log(System.Logger.Level.ERROR, "member {0} is stopping: {1}", settings.selfId(), f));
        Thread stopThread = new Thread(() -> shutDown(cause), "replica-" + settings.selfId() + "-stop");
        stopThread.setDaemon(true);
        stopThread.start();
    }

    private void shutDown(Optional<Failure> cause) {
        try {
            inbox.add(() -> {});
            thread.join();
            boolean diskIdle = disk.stop();
            applier.stop();
            if (announcedTerm != 0) {
                listener.leadershipLost(announcedTerm);
            }
            status = status.afterStop();
            closeFolder(diskIdle);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            stopped.complete(cause);
            pending.failAll();
        }
    }

    /** The files of a stalled disk are closed when its operation returns; until then closing them would block. */
    private void closeFolder(boolean diskIdle) {
        if (diskIdle) {
            closeFiles();
        } else {
            String reason = "a write or fsync did not return before the stop timeout";
            LOG.log(System.Logger.Level.ERROR, Failure.of(ErrorKind.STORAGE_FAILED, reason));
            disk.whenEnded(this::closeFiles);
        }
    }

    /** Releases the folder even if closing a file fails, since the member is opened again on the same folder. */
    private void closeFiles() {
        try (folder;
                storage) {
            LOG.log(System.Logger.Level.DEBUG, "member {0} closes its files", settings.selfId());
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "failed to close the data folder: {0}", e.getMessage());
        }
    }

    private final class DiskListener implements DiskWorker.Listener {
        @Override
        public void written(long id) {
            submit(() -> core.written(nowMs.getAsLong(), id));
        }

        @Override
        public void installed(Optional<SnapshotMeta> meta) {
            submit(() -> core.snapshotInstalled(meta));
        }

        @Override
        public void send(Outgoing message) {
            ReplicaNode.this.send(message);
        }

        @Override
        public void failed(Throwable cause) {
            stop(Optional.of(Failure.of(ErrorKind.STORAGE_FAILED, cause)));
        }
    }

    private final class ApplierListener implements Applier.Listener {
        @Override
        public void result(long token, byte[] result) {
            pending.completeProposal(token, result);
        }

        @Override
        public void applied(long index) {
            submit(() -> core.applied(index));
        }

        @Override
        public void snapshotTaken(long index, byte[] state) {
            submit(() -> core.snapshotTaken(index, state));
        }

        @Override
        public void failed(Throwable cause) {
            stop(Optional.of(Failure.of(ErrorKind.INTERNAL, cause)));
        }
    }
}
