package org.cornelcove.entry;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.awaitility.Awaitility;
import org.cornelcove.model.id.EntryId;

/** A test fixture: one entry with a fake leader and fake targets. */
final class Rig implements AutoCloseable {
    private static final java.util.logging.Logger GRIZZLY_LOG =
            java.util.logging.Logger.getLogger("org.glassfish.grizzly");

    static {
        GRIZZLY_LOG.setLevel(java.util.logging.Level.WARNING);
    }

    static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    static final long SILENCE_MS = 1_000;
    final FakeControl control = new FakeControl();
    final List<FakeTarget> targets = new ArrayList<>();
    volatile PeerLink peers = (address, request) -> new CompletableFuture<>();
    EntryServer entry;

    Rig with(FakeTarget... all) {
        targets.addAll(List.of(all));
        grantAll(8);
        return this;
    }

    void grantAll(int slots) {
        List<FakeTarget> granted = List.copyOf(targets);
        control.grant(() -> granted.stream()
                .map(target -> target.announcement(FakeControl.SERVICE, slots, false))
                .toList());
    }

    Rig open() throws IOException {
        EntrySettings usual = EntrySettings.of(EntryId.of("entry-1"), 1, "zone-a", "127.0.0.1", 0, "127.0.0.1:1", 42);
        EntrySettings quick = new EntrySettings(
                usual.entry(),
                usual.incarnation(),
                usual.availabilityZone(),
                usual.callerHost(),
                usual.callerPort(),
                usual.rpcAddress(),
                usual.seed(),
                20,
                SILENCE_MS,
                usual.connectTimeoutMs(),
                1 << 20,
                50,
                100);
        entry = EntryServer.open(quick, control, (address, request) -> peers.forward(address, request));
        await(() -> entry.unreadyReason().isEmpty());
        return this;
    }

    static void await(java.util.concurrent.Callable<Boolean> condition) {
        Awaitility.await()
                .atMost(20, TimeUnit.SECONDS)
                .pollInterval(2, TimeUnit.MILLISECONDS)
                .until(condition);
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.port() + path))
                .timeout(Duration.ofSeconds(30));
    }

    HttpRequest post(String id, String requestClass, String key, String body) {
        return request("/quote")
                .header(Headers.REQUEST_ID, id)
                .header(Headers.CLASS, requestClass)
                .header(Headers.KEY, key)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
        return HTTP.send(request, HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest request) {
        return HTTP.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    static String run(HttpResponse<?> response) {
        return response.headers().firstValue(Headers.RUN).orElse("none");
    }

    static int error(HttpResponse<?> response) {
        return Integer.parseInt(response.headers().firstValue(Headers.ERROR).orElse("0"));
    }

    @Override
    public void close() throws IOException {
        for (FakeTarget target : targets) {
            target.close();
        }
        entry.close();
    }
}
