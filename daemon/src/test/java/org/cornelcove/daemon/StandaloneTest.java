package org.cornelcove.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.cornelcove.daemon.settings.Role;
import org.cornelcove.daemon.settings.Settings;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.view.ConfigurationProposal;
import org.cornelcove.rules.CanonicalRules;
import org.cornelcove.wire.Json;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/** A standalone daemon: its API and a restart on the same data folder. */
class StandaloneTest {
    @TempDir
    static Path folder;

    private static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private static Settings settings;
    private static Daemon daemon;

    @BeforeAll
    static void start() throws IOException {
        InetSocketAddress rpc = freeAddress();
        TreeMap<Long, String> members = new TreeMap<>();
        members.put(1L, "127.0.0.1:" + rpc.getPort());
        settings = new Settings(
                EnumSet.allOf(Role.class),
                EntryId.of("alone"),
                "region-1",
                "zone-1",
                freeAddress(),
                freeAddress(),
                rpc,
                Optional.of(folder),
                1,
                members,
                0);
        daemon = Daemon.start(settings);
        awaitReady();
    }

    @AfterAll
    static void stop() {
        daemon.close();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    private static void awaitReady() {
        await().atMost(30, TimeUnit.SECONDS)
                .until(() -> send("GET", "/-/ready", "").statusCode() == 200);
    }

    private static HttpResponse<String> send(String method, String path, String body) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + settings.apiAddress().getPort() + path);
        HttpRequest request = HttpRequest.newBuilder(uri)
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        return HTTP.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static String proposal(long number, String digest) {
        return new String(
                Json.encode(new ConfigurationProposal(number, "ana", digest, RuleSet.empty())),
                java.nio.charset.StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "GET | /nowhere | '' | 404 | METHOD_UNKNOWN",
                "PUT | /v1/jobs | '' | 404 | METHOD_UNKNOWN",
                "POST | /v1/jobs | nonsense | 400 | ANNOUNCEMENT_INVALID",
                "POST | /v1/jobs | null | 400 | ANNOUNCEMENT_INVALID",
                "GET | /v1/jobs/j%2D1 | '' | 404 | JOB_UNKNOWN",
                "DELETE | /v1/jobs/j1 | '' | 404 | JOB_UNKNOWN",
                "GET | /v1/jobs/a%20b | '' | 400 | ANNOUNCEMENT_INVALID",
                "POST | /v1/targets/announce | {} | 400 | ANNOUNCEMENT_INVALID",
                "POST | /v1/workers/heartbeat | {} | 400 | ANNOUNCEMENT_INVALID",
                "POST | /v1/configuration | {} | 400 | ANNOUNCEMENT_INVALID",
                "GET | /v1/configuration/x/in-force | '' | 400 | ANNOUNCEMENT_INVALID",
                "POST | /v1/entries/nobody/drain | '' | 404 | ENTRY_UNKNOWN",
                "GET | /v1/explain/requests/r1 | '' | 404 | REQUEST_UNKNOWN",
                "DELETE | /v1/members/9 | '' | 404 | MEMBER_UNKNOWN"
            })
    void badInputIsATypedError(String method, String path, String body, int status, ErrorKind kind) throws Exception {
        HttpResponse<String> answer = send(method, path, body);
        assertThat(answer.body(), containsString("\"kind\":\"" + kind + "\""));
        assertThat(answer.statusCode(), is(status));
    }

    @Test
    void anOversizedBodyIsRefusedAndTheDaemonKeepsServing() throws Exception {
        HttpResponse<String> answer = send("POST", "/v1/jobs", "x".repeat(9 << 20));
        assertThat(answer.statusCode(), is(413));
        assertThat(send("GET", "/-/healthy", "").statusCode(), is(200));
    }

    @Test
    void aProposalWithTheDigestOfOtherRulesIsRefused() throws Exception {
        HttpResponse<String> answer = send("POST", "/v1/configuration", proposal(100, "00"));
        assertThat(answer.body(), containsString(ErrorKind.CONFIGURATION_DIGEST_WRONG.name()));
    }

    @Test
    void anAcceptedConfigurationSurvivesARestart() throws Exception {
        String digest = CanonicalRules.digest(RuleSet.empty());
        assertThat(send("POST", "/v1/configuration", proposal(7, digest)).statusCode(), is(200));
        daemon.close();
        daemon = Daemon.start(settings);
        awaitReady();
        String body = send("GET", "/v1/configuration", "").body();
        assertThat(body, containsString("\"changeNumber\":7"));
        assertThat(body, containsString(digest));
    }
}
