package org.cornelcove.daemon;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Turns SIGTERM and SIGINT into a planned stop: the daemon drains, closes, and the process ends with exit code 0. The
 * Java machine would otherwise report the signal as the exit code even after a clean stop, hence the halt.
 */
final class PlannedStop {
    private final AtomicBoolean underWay = new AtomicBoolean();
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
        underWay.set(true);
        daemon.drain();
        daemon.close();
        Runtime.getRuntime().halt(0);
    }

    /** Called when the daemon has stopped: waits for the end of the process when that is a planned stop. */
    void awaitIfUnderWay() {
        if (!underWay.get()) {
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
