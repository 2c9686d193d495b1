package org.cornelcove.model.command;

import org.cornelcove.model.id.HostId;

/**
 * Removes a worker that holds no attempts.
 *
 * @param host the worker
 */
public record RemoveWorker(HostId host) implements Command {}
