package org.cornelcove.entry;

import java.util.concurrent.CompletableFuture;

import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.message.EntryLease;

/** How an entry reaches the leader of the control hosts, wherever that is. */
public interface ControlLink {
    /**
     * Has a command committed.
     *
     * @param command the command
     * @return its outcome; fails with a {@link org.cornelcove.model.error.FailureException}, of kind
     *     {@code CALL_NOT_SENT}, {@code NOT_LEADER} or {@code NO_QUORUM} when the command surely took no effect, and of
     *     any other kind when that is unknown
     */
    CompletableFuture<Outcome> execute(Command command);

    /**
     * Renews the entry's lease.
     *
     * @param heartbeat what the entry has to tell
     * @return the lease
     */
    CompletableFuture<EntryLease> heartbeat(EntryHeartbeat heartbeat);
}
