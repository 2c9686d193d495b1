package org.cornelcove.model.command;

import org.cornelcove.model.id.HostId;

/**
 * Forgets a worker that runs nothing.
 *
 * @param host the worker
 */
public record RemoveWorker(HostId host) implements Command {}
