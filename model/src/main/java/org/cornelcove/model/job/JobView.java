package org.cornelcove.model.job;

import java.util.Optional;

import org.cornelcove.model.id.HostId;

/**
 * A job as an operator sees it.
 *
 * @param spec the job as submitted
 * @param state the current state
 * @param attempt the number of the current or last attempt, 0 before the first
 * @param host the worker of the current attempt, empty without one
 * @param checkpoint the last acknowledged checkpoint, empty before the first
 * @param reason why it waits, failed or was cancelled; empty otherwise
 */
public record JobView(
        JobSpec spec, JobState state, int attempt, Optional<HostId> host, Optional<String> checkpoint, String reason) {}
