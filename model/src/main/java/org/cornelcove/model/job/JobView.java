package org.cornelcove.model.job;

import java.util.Optional;

import org.cornelcove.model.id.HostId;

/**
 * A job as an operator sees it.
 *
 * @param spec what was asked for
 * @param state where it stands
 * @param attempt the number of the current or last attempt, 0 before the first
 * @param host where the current attempt runs
 * @param checkpoint the last acknowledged checkpoint
 * @param reason why it waits, failed or was cancelled; empty otherwise
 */
public record JobView(
        JobSpec spec, JobState state, int attempt, Optional<HostId> host, Optional<String> checkpoint, String reason) {}
