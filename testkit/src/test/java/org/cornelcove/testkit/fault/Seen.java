package org.cornelcove.testkit.fault;

import org.cornelcove.model.job.JobView;

/**
 * Observations of callers and operators, besides the events of targets and workers. All times are Unix milliseconds.
 */
final class Seen {
    /** Run state of a request that was sent but got no complete answer. */
    static final String LOST = "lost";

    /** Run state of a request that was not sent because no connection could be established. */
    static final String UNSENT = "unsent";

    private Seen() {}

    /** A request and its answer; {@code run} is the run state of the answer, {@link #LOST} or {@link #UNSENT}. */
    record Answer(Sent sent, long answeredMs, int status, String run, int error, String body) {}

    /** A request as it was sent. */
    record Sent(String requestId, String requestClass, String key, String body, String entry, long sentMs) {}

    /**
     * A proposal and its outcome: a version above 0, or an error number and message; both numbers are 0 without an
     * answer.
     */
    record Proposal(long changeNumber, String digest, long version, int error, String message) {}

    /** A configuration that was read through an api. */
    record Shown(String api, long version, String digest, long sentMs, long answeredMs) {}

    /** An operator learned that a version is in force on every entry. */
    record InForce(long version, long changeNumber, long answeredMs) {}

    /** A request to the path of one change; {@code known} is whether the entry had a service for it. */
    record Probe(String entry, long changeNumber, boolean known, long sentMs, long answeredMs) {}

    /** The first proposal of a change is about to be sent. */
    record Proposed(long changeNumber, long sentMs) {}

    /** A job as an operator read it. */
    record Job(JobView job, long answeredMs) {}

    /** A job that was accepted. */
    record Submitted(String job) {}

    /** A disk fault of a daemon: its exit code, -1 if it kept running, and its last error line, empty if none. */
    record DiskFailed(String entry, String fault, int exitCode, String said) {}

    /** A planned stop of a daemon. */
    record Stop(String entry, long fromMs, long toMs, int exitCode) {}
}
