package org.cornelcove.daemon.api;

import java.util.Optional;
import java.util.function.Supplier;

import org.cornelcove.entry.EntryServer;
import org.cornelcove.wire.CallClient;
import org.cornelcove.wire.LeaderRouter;

/**
 * The services behind the api listener.
 *
 * @param router finds the leader
 * @param client calls other daemons
 * @param entry this daemon's entry, empty without the entry role
 * @param unreadyReason why the load balancer should send no requests to this daemon, empty if it is ready
 */
public record Backend(
        LeaderRouter router,
        CallClient client,
        Optional<EntryServer> entry,
        Supplier<Optional<String>> unreadyReason) {}
