package org.cornelcove.daemon.call;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

import org.cornelcove.replication.Member;
import org.cornelcove.replication.ReplicaStatus;
import org.cornelcove.wire.LeaderRouter;

/**
 * The rpc addresses of the control hosts known now: the members that a control host told last, then those of the
 * settings. So a daemon finds control hosts that were added after it was started, and one that was told of members
 * that are all gone still has its settings to fall back on.
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
     * Returns the addresses of the settings, to be added to by {@link #refreshBy}.
     *
     * @param configured the addresses of the settings
     * @return the addresses
     */
    public static ControlAddresses of(List<String> configured) {
        return new ControlAddresses(configured);
    }

    /**
     * Asks for the members at once and then twice a second: a daemon that was started again must find a leader that its
     * settings do not name well within the leases that pass through it.
     *
     * @param router asks any of the control hosts known so far
     */
    public void refreshBy(LeaderRouter router) {
        timer.scheduleWithFixedDelay(
                () -> router.call(Calls.GROUP, Empty.INSTANCE, TIMEOUT_MS).thenAccept(this::learn),
                0,
                REFRESH_MS,
                TimeUnit.MILLISECONDS);
    }

    void learn(ReplicaStatus group) {
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
