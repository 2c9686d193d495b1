package org.cornelcove.testkit;

import org.cornelcove.model.resource.Resources;

/**
 * An event of an attempt on a worker.
 *
 * @param host the id of the worker
 * @param job the id of the job
 * @param attempt the number of the attempt within its job
 * @param what {@code started}, {@code running} periodically, {@code finished}, {@code failed}, {@code evicted},
 *     {@code stopped}, or {@code forgotten} once its end is acknowledged
 * @param checkpoint the run time done so far, in milliseconds as a decimal string
 * @param resources the resources that the attempt holds
 * @param capacity the total resources of the host
 * @param atMs the time of the event in Unix milliseconds
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
