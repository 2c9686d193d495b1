package org.cornelcove.daemon.call;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.cornelcove.replication.Member;
import org.cornelcove.replication.ReplicaStatus;
import org.cornelcove.wire.LeaderRouter;
import org.cornelcove.wire.PeriodicTask;

/**
 * The rpc addresses of the control hosts: the members most recently reported by a control host, then the configured
 * ones. A daemon thus finds control hosts that were added after its start, and falls back on its settings when none of
 * the reported members exists any longer.
 */
public final class ControlAddresses implements Supplier<List<String>>, AutoCloseable {
    private static final long REFRESH_MS = 500;
    private static final long TIMEOUT_MS = 1_000;

    private final List<String> configured;
    private final AtomicReference<List<String>> known;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "control-addresses");
        thread.setDaemon(true);
        return thread;
    });

    private ControlAddresses(List<String> configured) {
        this.configured = List.copyOf(configured);
        this.known = new AtomicReference<>(this.configured);
    }

    /**
     * Returns the configured addresses; {@link #startRefresh} adds the reported ones.
     *
     * @param configured the addresses of the settings
     * @return the addresses
     */
    public static ControlAddresses of(List<String> configured) {
        return new ControlAddresses(configured);
    }

    /**
     * Reads the members at once and then twice a second: a restarted daemon must find a leader that is missing from its
     * settings well before the leases that are renewed through the daemon expire.
     *
     * @param router calls any of the control hosts known so far
     */
    public void startRefresh(LeaderRouter router) {
        PeriodicTask.schedule(
                timer,
                "refresh of the members",
                () -> router.call(Calls.GROUP, Empty.INSTANCE, TIMEOUT_MS).thenAccept(this::updateMembers),
                0,
                REFRESH_MS);
    }

    void updateMembers(ReplicaStatus group) {
        Set<String> addresses = new LinkedHashSet<>();
        group.members().stream().map(Member::address).forEach(addresses::add);
        addresses.addAll(configured);
        known.set(List.copyOf(addresses));
    }

    @Override
    public List<String> get() {
        return known.get();
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
