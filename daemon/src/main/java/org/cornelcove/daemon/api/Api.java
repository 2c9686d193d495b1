package org.cornelcove.daemon.api;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.cornelcove.control.view.EntryStatus;
import org.cornelcove.daemon.call.Calls;
import org.cornelcove.daemon.call.Empty;
import org.cornelcove.daemon.call.EntryHistograms;
import org.cornelcove.entry.EntryServer;
import org.cornelcove.model.command.CancelJob;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Done;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.ProposeConfiguration;
import org.cornelcove.model.command.Refused;
import org.cornelcove.model.command.SubmitJob;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.id.Names;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.job.JobView;
import org.cornelcove.model.message.TargetAnnouncement;
import org.cornelcove.model.message.WorkerHeartbeat;
import org.cornelcove.model.view.ClusterHistograms;
import org.cornelcove.model.view.ConfigurationAccepted;
import org.cornelcove.model.view.ConfigurationProposal;
import org.cornelcove.model.view.EntryTrace;
import org.cornelcove.model.view.ExplainView;
import org.cornelcove.model.view.MemberAddition;
import org.cornelcove.model.view.RequestExplanation;
import org.cornelcove.rules.CanonicalRules;
import org.cornelcove.wire.Call;
import org.cornelcove.wire.Json;

/**
 * The routes of docs/PROTOCOL.md for operators, targets and workers. The state of the cluster is read from the leader;
 * announcements go to the entry of this daemon, which relays them.
 */
public final class Api {
    private static final long QUERY_TIMEOUT_MS = 3_000;
    private static final long COMMAND_TIMEOUT_MS = 5_000;
    private static final long WORKER_TIMEOUT_MS = 1_000;
    private static final long MEMBERSHIP_TIMEOUT_MS = 60_000;
    private static final long DRAIN_TIMEOUT_MS = 120_000;

    private final Backend backend;

    private Api(Backend backend) {
        this.backend = backend;
    }

    /**
     * Starts a server for the routes.
     *
     * @param address the address to listen on
     * @param backend the services behind the routes
     * @return the running server
     */
    public static ApiServer open(InetSocketAddress address, Backend backend) {
        return ApiServer.open(address, new Api(backend).routes());
    }

    private List<Route> routes() {
        return List.of(
                Route.of("GET", "/-/healthy", any -> completed(ApiAnswer.text(200, "healthy\n"))),
                Route.of("GET", "/-/ready", any -> completed(ready())),
                Route.of("POST", "/v1/targets/announce", this::announce),
                Route.of("POST", "/v1/workers/heartbeat", this::workerHeartbeat),
                Route.of("GET", "/v1/status", any -> ClusterReport.read(backend.router())
                        .thenApply(ApiAnswer::json)),
                Route.of("GET", "/v1/members", any -> ClusterReport.members(backend.router())
                        .thenApply(ApiAnswer::json)),
                Route.of("POST", "/v1/members", this::addMember),
                Route.of("DELETE", "/v1/members/*", this::removeMember),
                Route.of("GET", "/v1/configuration", any -> queryLeaderAsJson(Calls.CONFIGURATION, Empty.INSTANCE)),
                Route.of("POST", "/v1/configuration", this::propose),
                Route.of("GET", "/v1/configuration/*/in-force", this::inForce),
                Route.of("POST", "/v1/jobs", this::submit),
                Route.of("GET", "/v1/jobs", any -> queryLeader(Calls.JOBS, Empty.INSTANCE)
                        .thenApply(list -> ApiAnswer.json(list.jobs()))),
                Route.of("GET", "/v1/jobs/*", request -> showJob(jobId(request))),
                Route.of("DELETE", "/v1/jobs/*", this::cancel),
                Route.of("POST", "/v1/entries/*/drain", this::drain),
                Route.of("GET", "/v1/explain/jobs/*", request -> queryLeaderAsJson(Calls.EXPLAIN_JOB, jobId(request))),
                Route.of("GET", "/v1/explain/requests/*", request -> explainRequest(request.argument(0))),
                Route.of("GET", "/v1/histograms", any -> histograms()),
                Route.of(
                        "GET",
                        "/v1/metrics",
                        any -> completed(ApiAnswer.json(metrics().values()))),
                Route.of(
                        "GET",
                        "/metrics",
                        any -> completed(ApiAnswer.text(200, metrics().text()))));
    }

    private static CompletableFuture<ApiAnswer> completed(ApiAnswer answer) {
        return CompletableFuture.completedFuture(answer);
    }

    private static CompletableFuture<ApiAnswer> failed(Failure failure) {
        return completed(ApiAnswer.failure(failure));
    }

    private <Q, R> CompletableFuture<R> queryLeader(Call<Q, R> call, Q request) {
        return backend.router().read(call, request, QUERY_TIMEOUT_MS);
    }

    private <Q, R> CompletableFuture<ApiAnswer> queryLeaderAsJson(Call<Q, R> call, Q request) {
        return queryLeader(call, request).thenApply(ApiAnswer::json);
    }

    private <T> CompletableFuture<ApiAnswer> withBody(
            ApiRequest request, Class<T> type, Function<T, CompletableFuture<ApiAnswer>> next) {
        return Json.decode(request.body(), type).fold(Api::failed, next);
    }

    private CompletableFuture<ApiAnswer> execute(Command command, Function<Done, CompletableFuture<ApiAnswer>> next) {
        return backend.router()
                .call(Calls.EXECUTE, command, COMMAND_TIMEOUT_MS)
                .thenCompose(outcome -> answer(outcome, next));
    }

    private static CompletableFuture<ApiAnswer> answer(
            Outcome outcome, Function<Done, CompletableFuture<ApiAnswer>> next) {
        if (outcome instanceof Done done) {
            return next.apply(done);
        }
        return outcome instanceof Refused refusal
                ? failed(refusal.failure())
                : failed(Failure.of(ErrorKind.INTERNAL, "unexpected outcome " + outcome));
    }

    private ApiAnswer ready() {
        return backend.unreadyReason()
                .get()
                .map(reason -> ApiAnswer.text(503, reason + "\n"))
                .orElseGet(() -> ApiAnswer.text(200, "ready\n"));
    }

    private CompletableFuture<ApiAnswer> announce(ApiRequest request) {
        return withBody(request, TargetAnnouncement.class, announcement -> {
            Optional<String> unreadyReason = backend.entry().isEmpty()
                    ? Optional.of("it has no entry role")
                    : backend.unreadyReason().get();
            if (unreadyReason.isPresent()) {
                return failed(Failure.of(ErrorKind.ENTRY_NOT_READY, unreadyReason.get(), 1));
            }
            if (!AnnouncementCheck.isUsable(announcement)) {
                return failed(Failure.of(ErrorKind.ANNOUNCEMENT_INVALID, "a field is missing or out of range"));
            }
            backend.entry().get().announce(announcement);
            return completed(ApiAnswer.empty());
        });
    }

    private CompletableFuture<ApiAnswer> workerHeartbeat(ApiRequest request) {
        return withBody(
                request,
                WorkerHeartbeat.class,
                heartbeat -> AnnouncementCheck.isUsable(heartbeat)
                        ? backend.router()
                                .call(Calls.WORKER_HEARTBEAT, heartbeat, WORKER_TIMEOUT_MS)
                                .thenApply(ApiAnswer::json)
                        : failed(Failure.of(ErrorKind.ANNOUNCEMENT_INVALID, "a field is missing or out of range")));
    }

    private CompletableFuture<ApiAnswer> addMember(ApiRequest request) {
        return withBody(request, MemberAddition.class, member -> backend.router()
                .call(Calls.ADD_MEMBER, member, MEMBERSHIP_TIMEOUT_MS)
                .thenApply(any -> ApiAnswer.empty()));
    }

    private CompletableFuture<ApiAnswer> removeMember(ApiRequest request) {
        return backend.router()
                .call(Calls.REMOVE_MEMBER, number(request.argument(0)), MEMBERSHIP_TIMEOUT_MS)
                .thenApply(any -> ApiAnswer.empty());
    }

    private CompletableFuture<ApiAnswer> propose(ApiRequest request) {
        return withBody(request, ConfigurationProposal.class, this::propose);
    }

    private CompletableFuture<ApiAnswer> propose(ConfigurationProposal proposal) {
        if (proposal.rules() == null || proposal.operator() == null) {
            return failed(Failure.of(ErrorKind.ANNOUNCEMENT_INVALID, "a field is missing"));
        }
        String digest = CanonicalRules.digest(proposal.rules());
        if (!digest.equals(proposal.digest())) {
            return failed(Failure.of(ErrorKind.CONFIGURATION_DIGEST_WRONG, proposal.digest(), digest));
        }
        return execute(
                new ProposeConfiguration(proposal.changeNumber(), proposal.operator(), digest, proposal.rules()),
                done -> completed(ApiAnswer.json(new ConfigurationAccepted(done.version()))));
    }

    private CompletableFuture<ApiAnswer> inForce(ApiRequest request) {
        return queryLeaderAsJson(Calls.IN_FORCE, number(request.argument(0)));
    }

    private CompletableFuture<ApiAnswer> submit(ApiRequest request) {
        return withBody(request, JobSpec.class, spec -> execute(new SubmitJob(spec), done -> showJob(spec.id())));
    }

    private CompletableFuture<ApiAnswer> cancel(ApiRequest request) {
        JobId id = jobId(request);
        return execute(new CancelJob(id), done -> showJob(id));
    }

    private CompletableFuture<ApiAnswer> showJob(JobId id) {
        return queryLeader(Calls.JOB, id).thenApply(found -> found.job()
                .map((JobView view) -> ApiAnswer.json(view))
                .orElseGet(() -> ApiAnswer.failure(Failure.of(ErrorKind.JOB_UNKNOWN, id))));
    }

    private CompletableFuture<ApiAnswer> drain(ApiRequest request) {
        EntryId name = EntryId.of(name(request.argument(0)));
        return queryLeader(Calls.STATUS, Empty.INSTANCE).thenCompose(status -> status.entries().stream()
                .filter(entry -> entry.entry().equals(name) && entry.live())
                .findFirst()
                .map(this::drain)
                .orElseGet(() -> failed(Failure.of(ErrorKind.ENTRY_UNKNOWN, name))));
    }

    private CompletableFuture<ApiAnswer> drain(EntryStatus entry) {
        return backend.client()
                .call(entry.rpcAddress(), Calls.DRAIN, Empty.INSTANCE, DRAIN_TIMEOUT_MS)
                .thenApply(any -> ApiAnswer.empty());
    }

    private CompletableFuture<ApiAnswer> histograms() {
        return EntryPoll.of(backend)
                .poll(
                        Calls.ENTRY_HISTOGRAMS,
                        Empty.INSTANCE,
                        entry -> new EntryHistograms(entry.histograms()),
                        answer -> HistogramMerge.of(answer.histograms()))
                .thenApplyAsync(polled -> ApiAnswer.json(new ClusterHistograms(
                        HistogramMerge.of(polled.answers().values()).views(), polled.coverage())));
    }

    private CompletableFuture<ApiAnswer> explainRequest(String requestId) {
        return EntryPoll.of(backend)
                .poll(
                        Calls.EXPLAIN_REQUEST,
                        requestId,
                        entry -> new ExplainView(entry.explain(requestId)),
                        ExplainView::lines)
                .thenApply(polled -> explanation(requestId, polled));
    }

    /** Reports the request as unknown only if every live entry answered and none has a trace of it. */
    private static ApiAnswer explanation(String requestId, EntryPoll.Answers<List<String>> polled) {
        List<EntryTrace> traces = polled.answers().entrySet().stream()
                .filter(answer -> !answer.getValue().isEmpty())
                .map(answer -> new EntryTrace(answer.getKey(), answer.getValue()))
                .toList();
        return traces.isEmpty() && polled.coverage().whole()
                ? ApiAnswer.failure(Failure.of(ErrorKind.REQUEST_UNKNOWN, requestId))
                : ApiAnswer.json(new RequestExplanation(traces, polled.coverage()));
    }

    private MetricsReport metrics() {
        return MetricsReport.of(backend.entry().map(EntryServer::metrics));
    }

    private static JobId jobId(ApiRequest request) {
        return JobId.of(name(request.argument(0)));
    }

    private static String name(String text) {
        if (!Names.isName(text)) {
            throw Failure.of(ErrorKind.ANNOUNCEMENT_INVALID, "'" + text + "' is not a name")
                    .asException();
        }
        return text;
    }

    private static long number(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw Failure.of(ErrorKind.ANNOUNCEMENT_INVALID, "'" + text + "' is not a number")
                    .asException();
        }
    }
}
