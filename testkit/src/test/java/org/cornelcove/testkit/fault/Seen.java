package org.cornelcove.testkit.fault;

import org.cornelcove.model.job.JobView;

/** What callers and operators were told, beside what targets and workers wrote down. All times are Unix milliseconds. */
final class Seen {
    /** A request that was sent, but whose whole answer never came. */
    static final String LOST = "lost";

    /** A request that was never sent: the connection was refused. */
    static final String UNSENT = "unsent";

    private Seen() {}

    /** A request and what its caller was told; {@code run} is the answer's run state, or one of those above. */
    record Answer(Sent sent, long answeredMs, int status, String run, int error, String body) {}

    /** A request as it was sent. */
    record Sent(String requestId, String requestClass, String key, String body, String entry, long sentMs) {}

    /** A proposal and its outcome: a version above 0, or the number of the error with its message, 0 when lost. */
    record Proposal(long changeNumber, String digest, long version, int error, String message) {}

    /** A configuration read through an api. */
    record Shown(String api, long version, String digest, long sentMs, long answeredMs) {}

    /** An operator was told that a version is in force everywhere. */
    record InForce(long version, long changeNumber, long answeredMs) {}

    /** A request to the path that only one configuration knows; {@code known} tells whether the entry knew it. */
    record Probe(String entry, long changeNumber, boolean known, long sentMs, long answeredMs) {}

    /** A change was proposed for the first time. */
    record Proposed(long changeNumber, long sentMs) {}

    /** A job as an operator was shown it. */
    record Job(JobView job, long answeredMs) {}

    /** A job that was accepted. */
    record Submitted(String job) {}

    /** The disk of a daemon failed: its exit code, -1 while it goes on, and the last thing that it said. */
    record DiskFailed(String entry, String fault, int exitCode, String said) {}

    /** A planned stop of a daemon. */
    record Stop(String entry, long fromMs, long toMs, int exitCode) {}
}
