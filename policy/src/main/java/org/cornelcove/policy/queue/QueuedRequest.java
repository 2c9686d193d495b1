package org.cornelcove.policy.queue;

import org.cornelcove.policy.learn.RunTimeEstimate;

/**
 * A queued or running request.
 *
 * @param <T> type of the caller's payload
 */
public final class QueuedRequest<T> {
    private final String tenant;
    private final String kind;
    private final long deadlineUs;
    private final long expectedUs;
    private final long latestStartUs;
    private final long sequence;
    private final T payload;
    /** Whether it was assigned to the long lane; does not change when it is reclassified. */
    private final boolean queuedLong;
    /** Whether it counts as long work; a short request that exceeds the short run time becomes long. */
    private boolean isLong;

    private long startedUs;
    private boolean running;

    QueuedRequest(Arrival<T> arrival, RunTimeEstimate estimate, boolean isLong, long sequence) {
        this.tenant = arrival.tenant();
        this.kind = arrival.kind();
        this.deadlineUs = arrival.deadlineUs();
        this.payload = arrival.payload();
        this.expectedUs = estimate.meanUs();
        this.latestStartUs = deadlineUs - estimate.p90Us();
        this.queuedLong = isLong;
        this.isLong = isLong;
        this.sequence = sequence;
    }

    public T payload() {
        return payload;
    }

    public String tenant() {
        return tenant;
    }

    public String kind() {
        return kind;
    }

    public long deadlineUs() {
        return deadlineUs;
    }

    public boolean isLong() {
        return isLong;
    }

    boolean wasQueuedLong() {
        return queuedLong;
    }

    long expectedUs() {
        return expectedUs;
    }

    long latestStartUs() {
        return latestStartUs;
    }

    long sequence() {
        return sequence;
    }

    long startedUs() {
        return startedUs;
    }

    boolean isRunning() {
        return running;
    }

    void start(long nowUs) {
        startedUs = nowUs;
        running = true;
    }

    void end() {
        running = false;
    }

    void becomeLong() {
        isLong = true;
    }
}
