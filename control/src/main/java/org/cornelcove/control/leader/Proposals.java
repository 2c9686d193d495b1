package org.cornelcove.control.leader;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Outcome;

/**
 * The leader's own pending proposals. The leader's loops generate the same command at each tick and heartbeat until it
 * is applied; while one is pending, an equal command is not proposed again.
 */
final class Proposals {
    private final Proposer proposer;
    private final Map<Command, CompletableFuture<Outcome>> pending = new ConcurrentHashMap<>();

    Proposals(Proposer proposer) {
        this.proposer = proposer;
    }

    CompletableFuture<Outcome> propose(Command command) {
        CompletableFuture<Outcome> duplicate = pending.get(command);
        if (duplicate != null) {
            return duplicate;
        }
        CompletableFuture<Outcome> proposed = proposer.propose(command);
        pending.put(command, proposed);
        proposed.whenComplete((outcome, fault) -> pending.remove(command, proposed));
        return proposed;
    }

    /** Proposes a command of an operator or entry, even while an equal one is pending. */
    CompletableFuture<Outcome> unshared(Command command) {
        return proposer.propose(command);
    }

    void clear() {
        pending.clear();
    }
}
