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
import org.cornelcove.wire.Addresses;
import org.cornelcove.wire.CallClient;
import org.cornelcove.wire.CallHandlers;
import org.cornelcove.wire.CallServer;
import org.cornelcove.wire.LeaderRouter;

/**
 * One running daemon: its roles and its listeners. Parts are closed in the reverse of the order in which they were
 * opened.
 */
public final class Daemon implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(Daemon.class.getName());
    private static final long DRAIN_LIMIT_MS = 120_000;
    private static final long FORWARD_SLACK_MS = 500;

    private final Settings settings;
    private final DaemonParts world;
    private final Deque<AutoCloseable> parts = new ArrayDeque<>();
    private Optional<ControlHost> control = Optional.empty();
    private Optional<EntryServer> entry = Optional.empty();

    private Daemon(Settings settings, DaemonParts world) {
        this.settings = settings;
        this.world = world;
    }

    /**
     * Starts a daemon.
     *
     * @param settings checked settings
     * @return the running daemon
     * @throws org.cornelcove.model.error.FailureException when a port, the data folder or the log can't be used
     */
    public static Daemon start(Settings settings) {
        return start(settings, DaemonParts.standard());
    }

    /**
     * Starts a daemon that reaches the world by other parts.
     *
     * @param settings checked settings
     * @param world the parts
     * @return the running daemon
     * @throws org.cornelcove.model.error.FailureException as the other one
     */
    public static Daemon start(Settings settings, DaemonParts world) {
        Daemon daemon = new Daemon(settings, world);
        try {
            daemon.open();
        } catch (RuntimeException e) {
            daemon.close();
            throw e;
        }
        return daemon;
    }

    private void open() {
        CallClient client = keep(CallClient.create());
        ControlAddresses addresses =
                keep(ControlAddresses.of(List.copyOf(settings.controlMembers().values())));
        LeaderRouter router = LeaderRouter.create(client, addresses);
        addresses.refreshBy(router);
        CallHandlers handlers = CallHandlers.create();
        if (settings.has(Role.CONTROL)) {
            ControlHost host = ControlHost.create(settings, world.folders(), client);
            host.handle(handlers);
            control = Optional.of(host);
        }
        if (settings.has(Role.ENTRY)) {
            entry = Optional.of(keep(openEntry(router, client)));
            handle(entry.get(), handlers);
        }
        keep(CallServer.open(settings.rpcAddress(), handlers));
        control.ifPresent(host -> keep(host).start());
        keep(Api.open(settings.apiAddress(), new Backend(router, client, entry, this::unreadyReason)));
        LOG.log(System.Logger.Level.INFO, "{0} started as {1}", settings.name(), settings.roles());
    }

    private <T extends AutoCloseable> T keep(T part) {
        parts.push(part);
        return part;
    }

    private EntryServer openEntry(LeaderRouter router, CallClient client) {
        EntrySettings options = EntrySettings.of(
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
                    options,
                    world.control().apply(LeaderLink.create(router)),
                    (address, request) ->
                            client.call(address, Calls.FORWARD, request, request.remainingMs() + FORWARD_SLACK_MS));
        } catch (IOException e) {
            throw Failure.of(ErrorKind.PORT_UNAVAILABLE, settings.callerAddress(), e.getMessage())
                    .asException();
        }
    }

    private static void handle(EntryServer entry, CallHandlers handlers) {
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
     * Tells when the control role stopped by itself.
     *
     * @return completes with the reason; never without the control role
     */
    public CompletableFuture<Optional<Failure>> stopped() {
        return control.map(ControlHost::stopped).orElseGet(CompletableFuture::new);
    }

    /** A planned stop: unready, no new work, in-flight requests finished, leadership handed over. */
    public void drain() {
        entry.ifPresent(server -> {
            try {
                server.drain().get(DRAIN_LIMIT_MS, TimeUnit.MILLISECONDS);
            } catch (ExecutionException | TimeoutException e) {
                LOG.log(System.Logger.Level.WARNING, "the drain did not end in {0} ms", DRAIN_LIMIT_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    @Override
    public void close() {
        while (!parts.isEmpty()) {
            closeQuietly(parts.pop());
        }
    }

    private static void closeQuietly(AutoCloseable part) {
        try {
            part.close();
        } catch (Exception e) {
            LOG.log(System.Logger.Level.WARNING, "closing failed", e);
        }
    }
}
