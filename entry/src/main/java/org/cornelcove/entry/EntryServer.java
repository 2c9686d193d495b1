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
 * One entry: takes callers' requests and brings them to the targets that it owns, or to another entry.
 *
 * <p>It serves while it holds a lease of the leader. Without one it is unready, refuses new requests as not run, and
 * finishes those in flight. A drain goes through the stages of {@link Stage}.
 */
public final class EntryServer implements AutoCloseable {
    private static final System.Logger LOGGER = System.getLogger(EntryServer.class.getName());
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long DRAIN_POLL_MS = 20;
    /** How long a drain waits for others to take over what is owned; after a lease they can without being handed it. */
    private static final long HAND_OVER_LIMIT_MS = 3_000;

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
        /** Unready, so that the balancer stops sending; what still comes is served. */
        UNREADY,
        /** New requests are refused; targets and ranges are handed over, requests in flight finish. */
        HANDING_OVER,
        /** Nothing is left. */
        DRAINED
    }

    private EntryServer(EntrySettings settings, ControlLink control, PeerLink peers, EntryClock clock)
            throws IOException {
        this.settings = settings;
        this.clock = clock;
        int threads = Math.max(2, Runtime.getRuntime().availableProcessors() / 2);
        client = TargetClient.open(settings.connectTimeoutMs(), threads);
        deadlines = DeadlineWheel.start(clock.nowNs());
        lease = new LeaseKeeper(settings, control, client, clock.nowNs(), this::viewChanged);
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
        http = httpServer(new CallerHandler(parts, new HeadReader(settings), flow, this::whyUnready, this::whyClosed));
        listener = callers(threads);
    }

    /**
     * Starts an entry.
     *
     * @param settings its settings
     * @param control the way to the leader
     * @param peers the way to other entries
     * @return the running entry
     * @throws IOException when the caller address can't be listened on
     */
    public static EntryServer open(EntrySettings settings, ControlLink control, PeerLink peers) throws IOException {
        return open(settings, control, peers, EntryClock.system());
    }

    static EntryServer open(EntrySettings settings, ControlLink control, PeerLink peers, EntryClock clock)
            throws IOException {
        EntryServer server = new EntryServer(settings, control, peers, clock);
        try {
            // The server answers 404 by itself until its handler is in place, so it listens after that.
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
     * @return the port
     */
    public int port() {
        return http.getListener("callers").getPort();
    }

    /**
     * Takes in what a target tells about itself, to be relayed to the leader.
     *
     * @param announcement the target's words
     */
    public void announce(TargetAnnouncement announcement) {
        lease.hear(announcement);
    }

    /**
     * Runs a request that another entry forwarded; it is never forwarded again.
     *
     * @param message the request
     * @return the answer; never fails
     */
    public CompletableFuture<ForwardedAnswer> handleForwarded(ForwardedRequest message) {
        ServiceRule service = lease.view().rules().services().get(message.service());
        Optional<String> closed =
                service == null ? Optional.of("it does not know the service " + message.service()) : whyClosed();
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
     * Tells why the balancer should send no requests here.
     *
     * @return the reason, empty when ready
     */
    public Optional<String> whyUnready() {
        Optional<String> draining = stage.get() == Stage.SERVING ? Optional.empty() : Optional.of("it is draining");
        return draining.isPresent() ? draining : whyUnleased();
    }

    private Optional<String> whyClosed() {
        Stage now = stage.get();
        boolean open = now == Stage.SERVING || now == Stage.UNREADY;
        return open ? whyUnleased() : Optional.of("it is draining");
    }

    private Optional<String> whyUnleased() {
        return lease.whyUnleased();
    }

    private void viewChanged() {
        dispatcher.pumpAll();
    }

    /**
     * Tells where a recent request went and why.
     *
     * @param requestId the request
     * @return one line a step, empty when the request is not among the newest
     */
    public List<String> explain(String requestId) {
        return recent.explain(requestId);
    }

    /**
     * Returns the entry's name.
     *
     * @return the name
     */
    public EntryId name() {
        return settings.entry();
    }

    /**
     * Returns the histograms with all their buckets, to be merged with those of other entries.
     *
     * @return one for each tenant or class and each measure
     */
    public List<RecordedHistogram> histograms() {
        return metrics.histograms();
    }

    /**
     * Returns the histograms and counters.
     *
     * @return the registry
     */
    public MetricRegistry metrics() {
        return metrics.registry();
    }

    /**
     * Starts a planned stop: unready at once; new requests are refused after the balancer had time to notice; targets
     * and key ranges are handed over, and requests in flight finish.
     *
     * @return completes once nothing is left; the entry can then be closed without cutting off a request
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
