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
 * Performs all disk access of a member on its own thread. Writes that are queued while an fsync runs share the next one
 * (group commit), so each fsync covers more commands the slower the disk is.
 */
final class DiskWorker {
    /** Receives completions, failures and the messages to send. Called on the disk thread. */
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

    private static final long STOP_TIMEOUT_MS = 3_000;

    private final BlockingQueue<Task> tasks = new LinkedBlockingQueue<>();
    private final Queue<CompletableFuture<byte[]>> pendingStateReads = new ConcurrentLinkedQueue<>();
    private final MemberStorage storage;
    private final int maxBatch;
    private final Listener listener;
    private final Thread thread;
    private volatile boolean stopped;
    /** Incremented when a batch starts and when it ends, so odd while one runs; written by the disk thread only. */
    private volatile long batchCounter;

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
        pendingStateReads.add(state);
        tasks.add(new ReadState(state));
        return state;
    }

    /**
     * Stops the thread; writes that have not started are discarded. A write or fsync that blocks can't be interrupted;
     * the files must then not be accessed, since closing a file waits for the operations in progress on it.
     *
     * @return whether the thread has ended or is the calling thread; if false, the disk still blocks it
     */
    boolean stop() throws InterruptedException {
        stopped = true;
        tasks.add(new Stop());
        if (Thread.currentThread() != thread) {
            thread.join(STOP_TIMEOUT_MS);
        }
        pendingStateReads.forEach(state -> state.cancel(false));
        return !thread.isAlive() || Thread.currentThread() == thread;
    }

    /** Runs a task on a thread of its own once the disk thread has ended; called after {@link #stop}. */
    void whenEnded(Runnable task) {
        Thread waiting = new Thread(
                () -> {
                    try {
                        thread.join();
                        task.run();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                thread.getName() + "-end");
        waiting.setDaemon(true);
        waiting.start();
    }

    /** Returns the number of the batch in progress; empty if there is none. */
    OptionalLong currentBatch() {
        long now = batchCounter;
        return now % 2 == 0 ? OptionalLong.empty() : OptionalLong.of(now);
    }

    private void run() {
        List<Task> batch = new ArrayList<>();
        try {
            while (!stopped) {
                batch.clear();
                batch.add(tasks.take());
                tasks.drainTo(batch, maxBatch - 1);
                batchCounter = batchCounter + 1;
                execute(batch);
                batchCounter = batchCounter + 1;
            }
        } catch (IOException | RuntimeException e) {
            listener.failed(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void execute(List<Task> batch) throws IOException {
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
                pendingStateReads.remove(s.state());
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
