package org.cornelcove.daemon.api;

import java.util.Optional;
import java.util.function.Supplier;

import org.cornelcove.entry.EntryServer;
import org.cornelcove.wire.CallClient;
import org.cornelcove.wire.LeaderRouter;

/**
 * What the api listener serves from.
 *
 * @param router finds the leader
 * @param client calls other daemons
 * @param entry this daemon's entry, empty without that role
 * @param unreadyReason why the balancer should send nothing here, empty when ready
 */
public record Backend(
        LeaderRouter router,
        CallClient client,
        Optional<EntryServer> entry,
        Supplier<Optional<String>> unreadyReason) {}
