package org.cornelcove.replication;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;

import org.cornelcove.replication.core.ChunkRead;
import org.cornelcove.replication.core.DiskWrite;
import org.cornelcove.replication.core.Outgoing;
import org.cornelcove.replication.core.SnapshotMeta;
import org.cornelcove.replication.storage.MemberStorage;

/**
 * The thread that uses the disk. All writes that queued up while one fsync ran share the next one: the slower the disk,
 * the more commands each fsync covers.
 */
final class DiskWorker {
    /** Hears of what is done. Called on the disk's thread. */
    interface Listener {
        void written(long id);

        void installed(Optional<SnapshotMeta> meta);

        void send(Outgoing message);

        void failed(Throwable cause);
    }

    private sealed interface Task {}

    private record Write(DiskWrite write) implements Task {}

    private record Read(ChunkRead read) implements Task {}

    private record ReadState(CompletableFuture<byte[]> state) implements Task {}

    private record Stop() implements Task {}

    private static final long STOP_LIMIT_MS = 3_000;

    private final BlockingQueue<Task> tasks = new LinkedBlockingQueue<>();
    private final Queue<CompletableFuture<byte[]>> wantedStates = new ConcurrentLinkedQueue<>();
    private final MemberStorage storage;
    private final int maxBatch;
    private final Listener listener;
    private final Thread thread;
    private volatile boolean stopped;
    /** Even between batches, odd while one is under way; changed by the disk's thread only. */
    private volatile long progress;

    DiskWorker(MemberStorage storage, int maxBatch, Listener listener, String name) {
        this.storage = storage;
        this.maxBatch = maxBatch;
        this.listener = listener;
        this.thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.setUncaughtExceptionHandler((t, cause) -> listener.failed(cause));
    }

    void start() {
        thread.start();
    }

    void write(DiskWrite write) {
        tasks.add(new Write(write));
    }

    void read(ChunkRead read) {
        tasks.add(new Read(read));
    }

    CompletableFuture<byte[]> readState() {
        CompletableFuture<byte[]> state = new CompletableFuture<>();
        wantedStates.add(state);
        tasks.add(new ReadState(state));
        return state;
    }

    /**
     * Ends the thread; writes not begun are dropped. A write or fsync that hangs can't be ended: its files must not be
     * touched then, since closing one waits for what is under way on it.
     *
     * @return whether the thread ended
     */
    boolean stop() throws InterruptedException {
        stopped = true;
        tasks.add(new Stop());
        if (Thread.currentThread() != thread) {
            thread.join(STOP_LIMIT_MS);
        }
        wantedStates.forEach(state -> state.cancel(false));
        return !thread.isAlive() || Thread.currentThread() == thread;
    }

    /** Returns the number of the batch that is under way; empty while there is none. */
    OptionalLong underWay() {
        long now = progress;
        return now % 2 == 0 ? OptionalLong.empty() : OptionalLong.of(now);
    }

    private void run() {
        List<Task> batch = new ArrayList<>();
        try {
            while (!stopped) {
                batch.clear();
                batch.add(tasks.take());
                tasks.drainTo(batch, maxBatch - 1);
                progress = progress + 1;
                carryOut(batch);
                progress = progress + 1;
            }
        } catch (IOException | RuntimeException e) {
            listener.failed(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void carryOut(List<Task> batch) throws IOException {
        long lastId = 0;
        List<Optional<SnapshotMeta>> installs = new ArrayList<>();
        for (Task task : batch) {
            if (stopped) {
                return;
            }
            if (task instanceof Write w) {
                storage.write(w.write()).ifPresent(installs::add);
                lastId = w.write().id();
            } else if (task instanceof Read r) {
                storage.readChunk(r.read()).ifPresent(listener::send);
            } else if (task instanceof ReadState s) {
                wantedStates.remove(s.state());
                s.state().complete(storage.snapshotState());
            }
        }
        if (lastId > 0) {
            storage.sync();
            installs.forEach(listener::installed);
            listener.written(lastId);
        }
    }
}
