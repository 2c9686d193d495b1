package org.cornelcove.work.lead;

/** What the leader's loop knows of time. */
interface LoopClock {
    /**
     * Returns a monotonic time.
     *
     * @return a monotonic time
     */
    long nowMs();

    /**
     * Returns the Unix time.
     *
     * @return the Unix time
     */
    long wallMs();

    /**
     * Tells whether no other leader can have been elected by now.
     *
     * @return whether no other leader can have been elected by now
     */
    boolean leased();

    /**
     * Runs a task on the loop later.
     *
     * @param delayMs the delay ms
     * @param task the task
     */
    void later(long delayMs, Runnable task);

    /**
     * Runs a task on the loop.
     *
     * @param task the task
     */
    void execute(Runnable task);
}
