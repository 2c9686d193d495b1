package org.cornelcove.wire;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A task that is repeated whatever happens in it. An executor drops a periodic task at its first exception without a word,
 * after which pings, refreshes or the rounds of a leader would silently stay away.
 */
public final class PeriodicTask implements Runnable {
    private static final System.Logger LOG = System.getLogger(PeriodicTask.class.getName());

    private final String name;
    private final Runnable task;
    private final AtomicLong failures = new AtomicLong();

    private PeriodicTask(String name, Runnable task) {
        this.name = name;
        this.task = task;
    }

    /**
     * Repeats a task until the executor is shut down.
     *
     * @param executor runs the task
     * @param name the name of the task in the log
     * @param task the task
     * @param delayMs the time to the first run, in milliseconds
     * @param intervalMs the time from the end of a run to the next one, in milliseconds
     */
    public static void schedule(
            ScheduledExecutorService executor, String name, Runnable task, long delayMs, long intervalMs) {
        executor.scheduleWithFixedDelay(new PeriodicTask(name, task), delayMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            logRarely(e);
        }
    }

    /** Logs the first failure and then each time that their number doubles, since a task may fail at every run. */
    private void logRarely(Throwable cause) {
        long count = failures.incrementAndGet();
        if (Long.bitCount(count) == 1) {
            LOG.log(System.Logger.Level.ERROR, "failure " + count + " of the periodic task '" + name + "'", cause);
        }
    }
}
