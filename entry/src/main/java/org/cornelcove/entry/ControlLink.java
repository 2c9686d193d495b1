package org.cornelcove.entry;

import java.util.concurrent.CompletableFuture;

import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.message.EntryLease;

/** Sends commands and heartbeats to the current leader of the control hosts. */
public interface ControlLink {
    /**
     * Submits a command to be committed.
     *
     * @param command the command
     * @return its outcome; fails with a {@link org.cornelcove.model.error.FailureException}, of kind {@code
     *     CALL_NOT_SENT}, {@code NOT_LEADER} or {@code NO_QUORUM} when the command certainly had no effect, and of any
     *     other kind when that is unknown
     */
    CompletableFuture<Outcome> execute(Command command);

    /**
     * Renews the entry's lease.
     *
     * @param heartbeat the state of the entry
     * @return the lease; fails if the leader refuses or cannot be reached
     */
    CompletableFuture<EntryLease> heartbeat(EntryHeartbeat heartbeat);
}
