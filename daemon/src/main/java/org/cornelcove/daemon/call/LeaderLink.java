package org.cornelcove.daemon.call;

import java.util.concurrent.CompletableFuture;

import org.cornelcove.entry.ControlLink;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.message.EntryLease;
import org.cornelcove.wire.LeaderRouter;

/** Sends the commands and heartbeats of an entry to the leader. */
public final class LeaderLink implements ControlLink {
    private static final long EXECUTE_TIMEOUT_MS = 3000;
    private static final long HEARTBEAT_TIMEOUT_MS = 500;

    private final LeaderRouter router;

    private LeaderLink(LeaderRouter router) {
        this.router = router;
    }

    /**
     * Returns a link.
     *
     * @param router finds the leader
     * @return the link
     */
    public static LeaderLink create(LeaderRouter router) {
        return new LeaderLink(router);
    }

    @Override
    public CompletableFuture<Outcome> execute(Command command) {
        return router.call(Calls.EXECUTE, command, EXECUTE_TIMEOUT_MS);
    }

    @Override
    public CompletableFuture<EntryLease> heartbeat(EntryHeartbeat heartbeat) {
        return router.call(Calls.ENTRY_HEARTBEAT, heartbeat, HEARTBEAT_TIMEOUT_MS);
    }
}
