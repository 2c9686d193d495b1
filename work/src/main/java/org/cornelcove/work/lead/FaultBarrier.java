package org.cornelcove.work.lead;

import org.cornelcove.work.log.EventLog;

/** Confines an unexpected exception to one part of the leader's work, so that the parts after it are still done. */
final class FaultBarrier {
    private FaultBarrier() {}

    /**
     * Runs a task; a {@link RuntimeException} in it is logged, an {@link Error} is not caught.
     *
     * @param what the task, for the log
     * @param task the task
     */
    static void run(String what, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log(what, e);
        }
    }

    static void log(String what, Throwable cause) {
        StackTraceElement[] stack = cause.getStackTrace();
        EventLog.event("lead.fault", "what", what, "cause", cause, "where", stack.length == 0 ? "" : stack[0]);
    }
}
