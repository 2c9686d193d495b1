package org.cornelcove.daemon;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.cornelcove.daemon.api.Api;
import org.cornelcove.daemon.api.Backend;
import org.cornelcove.daemon.call.Calls;
import org.cornelcove.daemon.call.ControlAddresses;
import org.cornelcove.daemon.call.Empty;
import org.cornelcove.daemon.call.EntryHistograms;
import org.cornelcove.daemon.call.LeaderLink;
import org.cornelcove.daemon.settings.Role;
import org.cornelcove.daemon.settings.Settings;
import org.cornelcove.entry.EntryServer;
import org.cornelcove.entry.EntrySettings;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.view.ExplainView;
import org.cornelcove.replication.ReplicaStatus;
import org.cornelcove.wire.Addresses;
import org.cornelcove.wire.CallClient;
import org.cornelcove.wire.CallHandlers;
import org.cornelcove.wire.CallServer;
import org.cornelcove.wire.LeaderRouter;

/**
 * A running daemon with its roles and listeners. Components are closed in the reverse of the order in which they were
 * opened.
 */
public final class Daemon implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(Daemon.class.getName());
    private static final long DRAIN_LIMIT_MS = 120_000;
    private static final long HAND_OVER_LIMIT_MS = 1_000;
    /** Time in which a former leader answers the calls that it has taken, and callers find the new one. */
    private static final long LEADER_CALLS_MS = 500;

    private static final long FORWARD_SLACK_MS = 500;

    private final Settings settings;
    private final DaemonParts dependencies;
    private final Deque<AutoCloseable> closeables = new ArrayDeque<>();
    private Optional<ControlHost> control = Optional.empty();
    private Optional<EntryServer> entry = Optional.empty();

    private Daemon(Settings settings, DaemonParts dependencies) {
        this.settings = settings;
        this.dependencies = dependencies;
    }

    /**
     * Starts a daemon.
     *
     * @param settings checked settings
     * @return the running daemon
     * @throws org.cornelcove.model.error.FailureException if a port, the data folder or the log cannot be opened
     */
    public static Daemon start(Settings settings) {
        return start(settings, DaemonParts.standard());
    }

    /**
     * Starts a daemon with the given dependencies.
     *
     * @param settings checked settings
     * @param dependencies the implementations to use
     * @return the running daemon
     * @throws org.cornelcove.model.error.FailureException if a port, the data folder or the log cannot be opened
     */
    public static Daemon start(Settings settings, DaemonParts dependencies) {
        Daemon daemon = new Daemon(settings, dependencies);
        try {
            daemon.open();
        } catch (RuntimeException e) {
            daemon.close();
            throw e;
        }
        return daemon;
    }

    private void open() {
        CallClient client = register(CallClient.create());
        ControlAddresses addresses = register(
                ControlAddresses.of(List.copyOf(settings.controlMembers().values())));
        LeaderRouter router = LeaderRouter.create(client, addresses);
        addresses.startRefresh(router);
        CallHandlers handlers = CallHandlers.create();
        if (settings.has(Role.CONTROL)) {
            ControlHost host = ControlHost.create(settings, dependencies.folders(), client);
            host.registerHandlers(handlers);
            control = Optional.of(host);
        }
        if (settings.has(Role.ENTRY)) {
            entry = Optional.of(register(openEntry(router, client)));
            registerHandlers(entry.get(), handlers);
        }
        register(CallServer.open(settings.rpcAddress(), handlers));
        control.ifPresent(host -> register(host).start());
        register(Api.open(settings.apiAddress(), new Backend(router, client, entry, this::unreadyReason)));
        LOG.log(System.Logger.Level.INFO, "{0} started as {1}", settings.name(), settings.roles());
    }

    private <T extends AutoCloseable> T register(T closeable) {
        closeables.push(closeable);
        return closeable;
    }

    private EntryServer openEntry(LeaderRouter router, CallClient client) {
        EntrySettings entrySettings = EntrySettings.of(
                        settings.name(),
                        System.currentTimeMillis(),
                        settings.availabilityZone(),
                        settings.callerAddress().getHostString(),
                        settings.callerAddress().getPort(),
                        Addresses.text(settings.rpcAddress()),
                        settings.name().value().hashCode())
                .withDrainGraceMs(settings.drainMs());
        try {
            return EntryServer.open(
                    entrySettings,
                    dependencies.control().apply(LeaderLink.create(router)),
                    (address, request) ->
                            client.call(address, Calls.FORWARD, request, request.remainingMs() + FORWARD_SLACK_MS));
        } catch (IOException e) {
            throw Failure.of(ErrorKind.PORT_UNAVAILABLE, settings.callerAddress(), e.getMessage())
                    .asException();
        }
    }

    private static void registerHandlers(EntryServer entry, CallHandlers handlers) {
        handlers.answer(Calls.FORWARD, entry::handleForwarded)
                .answer(Calls.DRAIN, any -> entry.drain().thenApply(done -> Empty.INSTANCE))
                .answer(
                        Calls.ENTRY_HISTOGRAMS,
                        any -> CompletableFuture.supplyAsync(() -> new EntryHistograms(entry.histograms())))
                .answer(
                        Calls.EXPLAIN_REQUEST,
                        id -> CompletableFuture.supplyAsync(() -> new ExplainView(entry.explain(id))));
    }

    private Optional<String> unreadyReason() {
        return entry.flatMap(EntryServer::unreadyReason);
    }

    /**
     * Returns a future that completes when the control role stops.
     *
     * @return the failure that stopped it, empty if it was closed; never completes without the control role
     */
    public CompletableFuture<Optional<Failure>> stopped() {
        return control.map(ControlHost::stopped).orElseGet(CompletableFuture::new);
    }

    /**
     * Prepares a planned stop. The entry reports unready, admits no new work and completes in-flight requests. Then the
     * control role hands its leadership over and still answers the calls that it has taken. Leadership moves last, since a
     * new leader reassigns nothing while it collects announcements.
     */
    public void drain() {
        entry.ifPresent(server -> await("the drain", server.drain(), DRAIN_LIMIT_MS));
        boolean led = leads();
        control.ifPresent(host -> await("the transfer of leadership", host.handOver(), HAND_OVER_LIMIT_MS));
        if (led) {
            new CompletableFuture<Void>()
                    .completeOnTimeout(null, LEADER_CALLS_MS, TimeUnit.MILLISECONDS)
                    .join();
        }
    }

    private static void await(String what, CompletableFuture<Void> future, long limitMs) {
        try {
            future.get(limitMs, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(System.Logger.Level.WARNING, "{0} did not complete within {1} ms", what, limitMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns whether the control role of this daemon leads.
     *
     * @return false also without the control role
     */
    boolean leads() {
        return control.flatMap(ControlHost::status).map(ReplicaStatus::leading).orElse(false);
    }

    @Override
    public void close() {
        while (!closeables.isEmpty()) {
            closeQuietly(closeables.pop());
        }
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            LOG.log(System.Logger.Level.WARNING, "failed to close a component", e);
        }
    }
}
