package org.cornelcove.work.lead;

/** The clocks and the task queue of the leader's loop. */
interface LoopClock {
    /**
     * Returns a monotonic time.
     *
     * @return milliseconds from an arbitrary origin
     */
    long nowMs();

    /**
     * Returns the Unix time.
     *
     * @return milliseconds
     */
    long wallMs();

    /**
     * Checks whether this leader's lease excludes that another was elected.
     *
     * @return false once another leader may have been elected
     */
    boolean leased();

    /**
     * Runs a task on the loop later.
     *
     * @param delayMs the delay in milliseconds
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
