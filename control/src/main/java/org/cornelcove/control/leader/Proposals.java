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
    /** A command, as proposed in one term. */
    private record Key(long term, Command command) {}

    private final Proposer proposer;
    private final Map<Key, CompletableFuture<Outcome>> pending = new ConcurrentHashMap<>();

    Proposals(Proposer proposer) {
        this.proposer = proposer;
    }

    CompletableFuture<Outcome> propose(long term, Command command) {
        Key key = new Key(term, command);
        CompletableFuture<Outcome> duplicate = pending.get(key);
        if (duplicate != null) {
            return duplicate;
        }
        CompletableFuture<Outcome> proposed = proposer.propose(term, command);
        pending.put(key, proposed);
        proposed.whenComplete((outcome, fault) -> pending.remove(key, proposed));
        return proposed;
    }

    /** Proposes a command of an operator or entry, even while an equal one is pending. */
    CompletableFuture<Outcome> unshared(long term, Command command) {
        return proposer.propose(term, command);
    }

    void clear() {
        pending.clear();
    }
}
