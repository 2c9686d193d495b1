package org.cornelcove.entry;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import com.codahale.metrics.MetricRegistry;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.message.TargetAnnouncement;
import org.cornelcove.model.rule.ServiceRule;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * One entry: accepts requests of callers and dispatches them to the targets that it owns, or to another entry.
 *
 * <p>It serves while it holds a lease from the leader. Without one it is unready, refuses new requests, and finishes
 * those in flight. A drain passes through the stages of {@link Stage}.
 */
public final class EntryServer implements AutoCloseable {
    private static final System.Logger LOGGER = System.getLogger(EntryServer.class.getName());
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long DRAIN_POLL_MS = 20;
    /** How long a drain waits for targets and ranges to be reassigned; once the lease expires, they are in any case. */
    private static final long HAND_OVER_LIMIT_MS = 3_000;
    /** Heartbeats in which the other entries learn that this one owns nothing; until then they may forward requests. */
    private static final int PEER_HEARTBEATS = 3;

    private static final int MAX_HEADERS = 100;
    private static final int MAX_HEADER_BYTES = 16_384;

    private final EntrySettings settings;
    private final EntryClock clock;
    private final TargetClient client;
    private final DeadlineWheel deadlines;
    private final LeaseKeeper lease;
    private final Settler settler;
    private final Dispatcher dispatcher;
    private final RequestFlow flow;
    private final EntryMetrics metrics = new EntryMetrics();
    private final RecentRequests recent = new RecentRequests();
    private final Refusals refusals;
    private final HttpServer http;
    private final NetworkListener listener;
    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.SERVING);
    private final CompletableFuture<Void> drained = new CompletableFuture<>();

    /** The stages of a planned stop. */
    private enum Stage {
        /** Normal service. */
        SERVING,
        /** Unready, so that the load balancer stops sending; requests that still arrive are served. */
        UNREADY,
        /** New requests are refused; targets and ranges are handed over, requests in flight finish. */
        HANDING_OVER,
        /** No request is in flight, and targets and ranges are reassigned or the time limit has passed. */
        DRAINED
    }

    private EntryServer(EntrySettings settings, ControlLink control, PeerLink peers, EntryClock clock)
            throws IOException {
        this.settings = settings;
        this.clock = clock;
        int threads = Math.max(2, Runtime.getRuntime().availableProcessors() / 2);
        client = TargetClient.open(settings.connectTimeoutMs(), threads);
        deadlines = DeadlineWheel.start(clock.nowNs());
        lease = new LeaseKeeper(settings, control, client, clock.nowNs(), this::onViewChange);
        RetryAfter retryAfter = new RetryAfter(settings.seed());
        refusals = new Refusals(retryAfter);
        Dispatcher.Parts parts = new Dispatcher.Parts(
                settings,
                clock,
                lease::view,
                client,
                new PeerForwarder(settings, peers, clock, retryAfter),
                deadlines,
                metrics,
                refusals);
        dispatcher = new Dispatcher(parts);
        settler = new Settler(control);
        flow = new RequestFlow(
                parts,
                dispatcher,
                new ExclusiveKeys(parts, dispatcher),
                new OnceRequests(parts, dispatcher, control, settler),
                recent);
        http = httpServer(
                new CallerHandler(parts, new HeadReader(settings), flow, this::unreadyReason, this::closedReason));
        listener = callers(threads);
    }

    /**
     * Starts an entry.
     *
     * @param settings its settings
     * @param control the connection to the leader
     * @param peers the connections to other entries
     * @return the running entry
     * @throws IOException if listening on the caller address fails
     */
    public static EntryServer open(EntrySettings settings, ControlLink control, PeerLink peers) throws IOException {
        return open(settings, control, peers, EntryClock.system());
    }

    static EntryServer open(EntrySettings settings, ControlLink control, PeerLink peers, EntryClock clock)
            throws IOException {
        EntryServer server = new EntryServer(settings, control, peers, clock);
        try {
            // The server answers 404 until its handler is installed, so the listener is added after that.
            server.http.start();
            server.http.addListener(server.listener);
            if (!server.listener.isStarted()) {
                throw new IOException(
                        "can't listen for callers on " + settings.callerHost() + ":" + settings.callerPort());
            }
        } catch (IOException e) {
            server.close();
            throw e;
        }
        server.lease.start(settings.callerHost() + ":" + server.port());
        return server;
    }

    private static HttpServer httpServer(CallerHandler handler) {
        HttpServer server = new HttpServer();
        server.getServerConfiguration().addHttpHandler(handler, "/");
        server.getServerConfiguration().setAllowPayloadForUndefinedHttpMethods(true);
        return server;
    }

    private NetworkListener callers(int threads) {
        NetworkListener callers =
                new NetworkListener("callers", settings.callerHost(), Math.max(0, settings.callerPort()));
        callers.setMaxRequestHeaders(MAX_HEADERS);
        callers.setMaxHttpHeaderSize(MAX_HEADER_BYTES);
        callers.setMaxPendingBytes(-1);
        callers.getFileCache().setEnabled(false);
        callers.getKeepAlive().setMaxRequestsCount(-1);
        TCPNIOTransport transport = callers.getTransport();
        transport.setIOStrategy(SameThreadIOStrategy.getInstance());
        transport.setSelectorRunnersCount(threads);
        transport.setTcpNoDelay(true);
        return callers;
    }

    /**
     * Returns the port for callers.
     *
     * @return the bound port, also if the settings ask for any free one
     */
    public int port() {
        return http.getListener("callers").getPort();
    }

    /**
     * Handles an announcement of a target, which is relayed to the leader.
     *
     * @param announcement the announcement
     */
    public void announce(TargetAnnouncement announcement) {
        lease.receive(announcement);
    }

    /**
     * Runs a request that another entry forwarded; it is never forwarded again.
     *
     * @param message the request
     * @return the answer; never completes exceptionally
     */
    public CompletableFuture<ForwardedAnswer> handleForwarded(ForwardedRequest message) {
        ServiceRule service = lease.view().rules().services().get(message.service());
        Optional<String> closed =
                service == null ? Optional.of("it does not know the service " + message.service()) : closedReason();
        if (closed.isPresent()) {
            return CompletableFuture.completedFuture(
                    refusals.notReady(closed.get()).toForwarded());
        }
        long now = clock.nowNs().getAsLong();
        ServiceRequest request = new ServiceRequest(
                message.requestId(),
                service,
                message.tenant(),
                message.requestClass(),
                message.key(),
                message.mayQueue() ? ServiceRequest.Origin.PEER_MAY_QUEUE : ServiceRequest.Origin.PEER_START_NOW,
                now,
                now + message.remainingMs() * NANOS_PER_MS,
                message.method(),
                message.uri(),
                message.headers(),
                message.body(),
                new RequestTrace(message.requestId(), now));
        return flow.run(request, message.claimed()).thenApply(Answer::toForwarded);
    }

    /**
     * Returns the reason why the load balancer should not send requests here.
     *
     * @return the reason, empty when ready
     */
    public Optional<String> unreadyReason() {
        Optional<String> draining = stage.get() == Stage.SERVING ? Optional.empty() : Optional.of("it is draining");
        return draining.isPresent() ? draining : unleasedReason();
    }

    private Optional<String> closedReason() {
        Stage now = stage.get();
        boolean open = now == Stage.SERVING || now == Stage.UNREADY;
        return open ? unleasedReason() : Optional.of("it is draining");
    }

    private Optional<String> unleasedReason() {
        return lease.unleasedReason();
    }

    private void onViewChange() {
        dispatcher.pumpAll();
    }

    /**
     * Returns the trace of a recent request.
     *
     * @param requestId the id of the request
     * @return one line per step, empty if the request is unknown or no longer retained
     */
    public List<String> explain(String requestId) {
        return recent.explain(requestId);
    }

    /**
     * Returns the entry's name.
     *
     * @return the name from the settings
     */
    public EntryId name() {
        return settings.entry();
    }

    /**
     * Returns the histograms with all buckets, to be merged with those of other entries.
     *
     * @return one for each combination of tenant or class and measure
     */
    public List<RecordedHistogram> histograms() {
        return metrics.histograms();
    }

    /**
     * Returns the histograms and counters.
     *
     * @return the registry of this entry
     */
    public MetricRegistry metrics() {
        return metrics.registry();
    }

    /**
     * Starts a planned stop. The entry becomes unready immediately and refuses new requests once the load balancer has
     * had time to notice; targets and key ranges are handed over, and requests in flight finish.
     *
     * @return completes once the entry is drained and can be closed without interrupting a request
     */
    public CompletableFuture<Void> drain() {
        if (stage.compareAndSet(Stage.SERVING, Stage.UNREADY)) {
            LOGGER.log(System.Logger.Level.INFO, "draining: unready");
            CompletableFuture.delayedExecutor(settings.drainGraceMs(), TimeUnit.MILLISECONDS)
                    .execute(this::handOver);
        }
        return drained;
    }

    private void handOver() {
        stage.set(Stage.HANDING_OVER);
        lease.handOver();
        LOGGER.log(System.Logger.Level.INFO, "draining: handing over");
        awaitEmpty(clock.nowNs().getAsLong() + HAND_OVER_LIMIT_MS * NANOS_PER_MS);
    }

    private void awaitEmpty(long handOverEndNs) {
        EntryView view = lease.view();
        long now = clock.nowNs().getAsLong();
        boolean owns = view.isLeased(now)
                && !(view.targetsByService().isEmpty() && view.ranges().isEmpty());
        if (flow.inFlight() > 0 || owns && now < handOverEndNs) {
            CompletableFuture.delayedExecutor(DRAIN_POLL_MS, TimeUnit.MILLISECONDS)
                    .execute(() -> awaitEmpty(handOverEndNs));
            return;
        }
        CompletableFuture.delayedExecutor(PEER_HEARTBEATS * settings.heartbeatMs(), TimeUnit.MILLISECONDS)
                .execute(this::completeDrain);
    }

    private void completeDrain() {
        stage.set(Stage.DRAINED);
        LOGGER.log(System.Logger.Level.INFO, "drained");
        drained.complete(null);
    }

    @Override
    public void close() {
        http.shutdownNow();
        lease.close();
        settler.close();
        deadlines.close();
        try {
            client.close();
        } catch (IOException e) {
            LOGGER.log(System.Logger.Level.WARNING, "the connections to targets did not close cleanly", e);
        }
    }
}
