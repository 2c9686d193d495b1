package org.cornelcove.control.leader;

import java.util.Optional;

import org.cornelcove.model.id.HostId;

/**
 * The soft state of an attempt that holds resources.
 *
 * @param host the worker on which it was placed
 * @param sinceMs when a worker first reported it, or when this leader first saw it
 * @param renewedMs when an order last renewed its lease, or when this leader first saw it
 * @param reported whether a worker has reported that it runs
 * @param checkpoint the newest checkpoint reported
 * @param savedMs when that checkpoint was first reported, or when the attempt was first seen
 * @param over whether this leader has declared it lost; its lease is then never renewed again
 */
record RunningAttempt(
        HostId host,
        long sinceMs,
        long renewedMs,
        boolean reported,
        Optional<String> checkpoint,
        long savedMs,
        boolean over) {

    static RunningAttempt seen(HostId host, long nowMs) {
        return new RunningAttempt(host, nowMs, nowMs, false, Optional.empty(), nowMs, false);
    }

    RunningAttempt renewed(long nowMs) {
        return new RunningAttempt(host, sinceMs, nowMs, reported, checkpoint, savedMs, over);
    }

    RunningAttempt reported(Optional<String> newest, long nowMs) {
        boolean saved = newest.isPresent() && !newest.equals(checkpoint);
        return new RunningAttempt(
                host,
                reported ? sinceMs : nowMs,
                renewedMs,
                true,
                newest.or(() -> checkpoint),
                saved ? nowMs : savedMs,
                over);
    }

    RunningAttempt declaredExpired() {
        return new RunningAttempt(host, sinceMs, renewedMs, reported, checkpoint, savedMs, true);
    }
}
