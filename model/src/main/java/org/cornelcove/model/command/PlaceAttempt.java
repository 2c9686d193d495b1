package org.cornelcove.model.command;

import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.HostId;

/**
 * Places the next attempt of a job on a host; refused when it does not fit.
 *
 * @param attempt the attempt, whose number is one above that of the job's last attempt
 * @param host the worker to run on
 */
public record PlaceAttempt(AttemptId attempt, HostId host) implements Command {}
