package org.cornelcove.daemon;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Handles SIGTERM and SIGINT as a planned stop: the daemon drains and closes, and the process exits with 0. The hook
 * halts the JVM because its exit code would otherwise be that of the signal, even after a clean stop.
 */
final class PlannedStop {
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicBoolean failed = new AtomicBoolean();
    private final Daemon daemon;

    private PlannedStop(Daemon daemon) {
        this.daemon = daemon;
    }

    static PlannedStop onTermination(Daemon daemon) {
        PlannedStop stop = new PlannedStop(daemon);
        Runtime.getRuntime().addShutdownHook(new Thread(stop::run, "planned-stop"));
        return stop;
    }

    private void run() {
        if (failed.get()) {
            return;
        }
        stopping.set(true);
        daemon.drain();
        daemon.close();
        Runtime.getRuntime().halt(0);
    }

    /** Called after the daemon has stopped. During a planned stop it blocks until the shutdown hook halts the JVM. */
    void awaitIfStopping() {
        if (!stopping.get()) {
            failed.set(true);
            return;
        }
        try {
            Thread.sleep(Long.MAX_VALUE);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
