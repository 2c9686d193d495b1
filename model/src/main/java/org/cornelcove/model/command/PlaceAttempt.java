package org.cornelcove.model.command;

import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.HostId;

/**
 * Places the next attempt of a job on a host; refused when it does not fit.
 *
 * @param attempt the attempt, numbered one above the job's last
 * @param host where
 */
public record PlaceAttempt(AttemptId attempt, HostId host) implements Command {}
