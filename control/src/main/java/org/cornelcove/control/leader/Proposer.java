package org.cornelcove.control.leader;

import java.util.concurrent.CompletableFuture;

import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Outcome;

/** Commits commands to the replicated log. */
@FunctionalInterface
public interface Proposer {
    /**
     * Proposes a command in one term only. In another term, also one in which this host leads again, it is not appended.
     *
     * @param term the term in which the command was decided or accepted
     * @param command the command
     * @return its outcome once it is committed and applied here
     */
    CompletableFuture<Outcome> propose(long term, Command command);
}
