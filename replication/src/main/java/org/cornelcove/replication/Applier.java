package org.cornelcove.replication;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;

import org.cornelcove.replication.core.EntryKind;
import org.cornelcove.replication.core.Ready;

/** Applies committed entries to the state machine in log order, on its own thread. */
final class Applier {
    /** Receives results and completions. Called on the applier's thread. */
    interface Listener {
        void result(long token, byte[] result);

        void applied(long index);

        void snapshotTaken(long index, byte[] state);

        void failed(Throwable cause);
    }

    private final BlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
    private final StateMachine machine;
    private final Listener listener;
    private final Thread thread;
    private long appliedIndex;
    private volatile boolean stopped;

    Applier(StateMachine machine, Listener listener, String name) {
        this.machine = machine;
        this.listener = listener;
        this.thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.setUncaughtExceptionHandler((t, cause) -> listener.failed(cause));
    }

    void start() {
        thread.start();
    }

    void restore(long index, CompletableFuture<byte[]> state) {
        tasks.add(() -> {
            machine.restore(state.join());
            appliedIndex = index;
            listener.applied(index);
        });
    }

    void apply(List<Ready.Apply> applies) {
        tasks.add(() -> {
            applies.forEach(this::applyOne);
            listener.applied(appliedIndex);
        });
    }

    void takeSnapshot() {
        tasks.add(() -> listener.snapshotTaken(appliedIndex, machine.snapshot()));
    }

    /** Stops the thread; queued work that has not started is discarded. */
    void stop() throws InterruptedException {
        stopped = true;
        tasks.add(() -> {});
        if (Thread.currentThread() != thread) {
            thread.join();
        }
    }

    private void run() {
        try {
            while (!stopped) {
                tasks.take().run();
            }
        } catch (RuntimeException e) {
            listener.failed(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void applyOne(Ready.Apply apply) {
        if (stopped) {
            return;
        }
        appliedIndex = apply.entry().index();
        if (apply.entry().kind() == EntryKind.COMMAND) {
            byte[] result = machine.apply(appliedIndex, apply.entry().payload());
            if (apply.token() != 0) {
                listener.result(apply.token(), result);
            }
        }
    }
}
