package org.cornelcove.control.leader;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Outcome;

/**
 * The leader's own proposals that are under way. The leader's loops see the same need again at each tick and heartbeat
 * until the command is applied; an equal command is proposed once only.
 */
final class Proposals {
    private final Proposer proposer;
    private final Map<Command, CompletableFuture<Outcome>> pending = new ConcurrentHashMap<>();

    Proposals(Proposer proposer) {
        this.proposer = proposer;
    }

    CompletableFuture<Outcome> propose(Command command) {
        CompletableFuture<Outcome> underWay = pending.get(command);
        if (underWay != null) {
            return underWay;
        }
        CompletableFuture<Outcome> proposed = proposer.propose(command);
        pending.put(command, proposed);
        proposed.whenComplete((outcome, fault) -> pending.remove(command, proposed));
        return proposed;
    }

    /** Proposes a command of somebody else, also while an equal one is under way. */
    CompletableFuture<Outcome> unshared(Command command) {
        return proposer.propose(command);
    }

    void clear() {
        pending.clear();
    }
}
