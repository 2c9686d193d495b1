package org.cornelcove.testkit;

import org.cornelcove.model.resource.Resources;

/**
 * What a worker did with an attempt.
 *
 * @param host the worker
 * @param job the job
 * @param attempt the attempt's number
 * @param what {@code started}, {@code running} from time to time, {@code finished}, {@code failed}, {@code evicted},
 *     {@code stopped}, or {@code forgotten} once its end is acknowledged
 * @param checkpoint where it started from or stopped at, empty for none
 * @param resources what it holds
 * @param capacity what the host holds
 * @param atMs Unix milliseconds
 */
public record AttemptEvent(
        String host,
        String job,
        int attempt,
        String what,
        String checkpoint,
        Resources resources,
        Resources capacity,
        long atMs) {}
