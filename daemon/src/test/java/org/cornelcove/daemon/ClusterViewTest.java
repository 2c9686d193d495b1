package org.cornelcove.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.cornelcove.daemon.settings.Role;
import org.cornelcove.daemon.settings.Settings;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.request.RequestClass;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.ServiceRule;
import org.cornelcove.model.view.ClusterHistograms;
import org.cornelcove.model.view.ClusterStatus;
import org.cornelcove.model.view.ConfigurationProposal;
import org.cornelcove.model.view.EntryTrace;
import org.cornelcove.model.view.HistogramView;
import org.cornelcove.model.view.MemberState;
import org.cornelcove.model.view.MemberView;
import org.cornelcove.model.view.RequestExplanation;
import org.cornelcove.rules.CanonicalRules;
import org.cornelcove.wire.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/** The cluster status reported by each of three daemons, while all run and while they stop one after the other. */
class ClusterViewTest {
    private static final int SIZE = 3;
    private static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @TempDir
    private Path folder;

    private final List<Settings> settings = new ArrayList<>();
    private final List<Daemon> daemons = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        TreeMap<Long, String> members = new TreeMap<>();
        List<InetSocketAddress> rpc = freeAddresses(3 * SIZE);
        for (int i = 0; i < SIZE; i++) {
            members.put(i + 1L, "127.0.0.1:" + rpc.get(i).getPort());
        }
        for (int i = 0; i < SIZE; i++) {
            settings.add(new Settings(
                    EnumSet.allOf(Role.class),
                    EntryId.of("e" + (i + 1)),
                    "region-1",
                    "zone-" + (i + 1),
                    rpc.get(SIZE + i),
                    rpc.get(2 * SIZE + i),
                    rpc.get(i),
                    Optional.of(folder.resolve("d" + i)),
                    i + 1,
                    members,
                    0));
            daemons.add(Daemon.start(settings.get(i)));
        }
        awaitRules();
    }

    private void awaitRules() throws Exception {
        ServiceRule service = new ServiceRule("s", "/s", RequestClass.SAFE, 100, 1_000, 1_000, 8, 100, 25);
        TreeMap<String, ServiceRule> services = new TreeMap<>();
        services.put("s", service);
        RuleSet rules = new RuleSet(services, new TreeMap<>(), new TreeMap<>(), BatchRule.DEFAULT);
        String proposal = new String(
                Json.encode(new ConfigurationProposal(1, "ana", CanonicalRules.digest(rules), rules)),
                StandardCharsets.UTF_8);
        await().atMost(30, TimeUnit.SECONDS)
                .until(() -> api(0, "POST", "/v1/configuration", proposal).statusCode() == 200);
        await().atMost(30, TimeUnit.SECONDS)
                .until(() -> status().entries().stream()
                                .filter(entry -> entry.live() && entry.configurationVersion() == 1)
                                .count()
                        == SIZE);
    }

    @AfterEach
    void stop() {
        daemons.forEach(Daemon::close);
    }

    @Test
    void anyDaemonReportsTheWholeClusterAndMissingEntries() throws Exception {
        for (int i = 0; i < SIZE; i++) {
            for (int request = 0; request <= i; request++) {
                call(i, "r-" + i + "-" + request);
            }
        }
        for (int asked = 0; asked < SIZE; asked++) {
            assertThat(latencies(histograms(asked)), is(6L));
            assertThat(histograms(asked).coverage().whole(), is(true));
            assertThat(tracingEntries(asked, "r-1-0"), is(List.of(EntryId.of("e2"))));
        }

        assertThat(traces(0, "r-1-0").get(0).lines().toString(), containsString("failed with NO_TARGET"));

        daemons.get(2).close();
        await().atMost(30, TimeUnit.SECONDS).until(() -> states().get(2) == MemberState.SILENT);
        assertThat(latencies(histograms(0)), is(3L));
        ClusterHistograms partial = histograms(0);
        boolean listed = partial.coverage().silent().contains(EntryId.of("e3"))
                || partial.coverage().unanswered().stream()
                        .anyMatch(gap -> gap.entry().equals(EntryId.of("e3")));
        assertThat(listed, is(true));

        daemons.get(1).close();
        await().atMost(30, TimeUnit.SECONDS)
                .until(() -> states().equals(List.of(MemberState.FOLLOWER, MemberState.UNKNOWN, MemberState.UNKNOWN)));
        assertThat(latencies(histograms(0)), is(1L));
        assertThat(histograms(0).coverage().entriesKnown(), is(false));
        assertThat(api(0, "GET", "/v1/status", "").statusCode(), is(503));
    }

    private static long latencies(ClusterHistograms all) {
        return all.histograms().stream()
                .filter(histogram -> histogram.name().equals("class.safe.latency"))
                .mapToLong(HistogramView::count)
                .sum();
    }

    private ClusterHistograms histograms(int asked) throws Exception {
        return read(asked, "/v1/histograms", ClusterHistograms.class);
    }

    private List<EntryId> tracingEntries(int asked, String request) throws Exception {
        return traces(asked, request).stream().map(EntryTrace::entry).toList();
    }

    private List<EntryTrace> traces(int asked, String request) throws Exception {
        return read(asked, "/v1/explain/requests/" + request, RequestExplanation.class)
                .traces();
    }

    private ClusterStatus status() throws Exception {
        return read(0, "/v1/status", ClusterStatus.class);
    }

    private List<MemberState> states() throws Exception {
        return Arrays.stream(read(0, "/v1/members", MemberView[].class))
                .map(MemberView::state)
                .toList();
    }

    private <T> T read(int asked, String path, Class<T> type) throws Exception {
        byte[] body = api(asked, "GET", path, "").body().getBytes(StandardCharsets.UTF_8);
        return Json.decode(body, type).get();
    }

    private HttpResponse<String> api(int asked, String method, String path, String body) throws Exception {
        return send(settings.get(asked).apiAddress(), method, path, "", body);
    }

    /** Sends a request for which there is no target; its refusal counts as an answer with a latency. */
    private void call(int entry, String id) throws Exception {
        send(settings.get(entry).callerAddress(), "GET", "/s/x", id, "");
    }

    private static HttpResponse<String> send(
            InetSocketAddress to, String method, String path, String requestId, String body) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + to.getPort() + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (!requestId.isEmpty()) {
            request.header("Cornelcove-Request-Id", requestId);
        }
        return HTTP.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static List<InetSocketAddress> freeAddresses(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            sockets.add(new ServerSocket(0));
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (ServerSocket socket : sockets) {
            addresses.add(new InetSocketAddress("127.0.0.1", socket.getLocalPort()));
            socket.close();
        }
        return addresses;
    }
}
