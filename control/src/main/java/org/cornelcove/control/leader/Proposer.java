package org.cornelcove.control.leader;

import java.util.concurrent.CompletableFuture;

import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Outcome;

/** Commits commands to the replicated log. */
@FunctionalInterface
public interface Proposer {
    /**
     * Proposes a command.
     *
     * @param command the command
     * @return its outcome once it is committed and applied here
     */
    CompletableFuture<Outcome> propose(Command command);
}
