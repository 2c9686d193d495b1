package org.cornelcove.daemon.api;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ApiServerTest {
    private static final int CALLERS = 4;
    private static final int CALLS = 300;
    private static final int OPENINGS = 10;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** Callers keep their connection alive and send each body after the headers, as common clients do. */
    @ParameterizedTest
    @ValueSource(longs = {100, 3000})
    void aKeptConnectionServesTheNextRequest(long maxDelayUs) throws Exception {
        InetSocketAddress address = freeAddress();
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
        ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
        Route route = Route.of("POST", "/late", request -> {
            CompletableFuture<ApiAnswer> answer = new CompletableFuture<>();
            long delayUs = ThreadLocalRandom.current().nextLong(maxDelayUs);
            scheduler.schedule(() -> answer.complete(ApiAnswer.empty()), delayUs, TimeUnit.MICROSECONDS);
            return answer;
        });
        try (ApiServer server = ApiServer.open(address, List.of(route))) {
            List<Future<Integer>> answered = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                answered.add(callers.submit(() -> callInTurn(address)));
            }
            for (Future<Integer> calls : answered) {
                assertThat(calls.get(), is(CALLS));
            }
        } finally {
            scheduler.shutdownNow();
            callers.shutdownNow();
        }
    }

    /** Requests that arrive while the server starts must not be answered with 404. */
    @Test
    void noRequestIsAnsweredBeforeTheRoutesAreRegistered() throws Exception {
        Route route = Route.of("POST", "/late", request -> CompletableFuture.completedFuture(ApiAnswer.empty()));
        for (int round = 0; round < OPENINGS; round++) {
            InetSocketAddress address = freeAddress();
            ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
            List<Future<Integer>> first = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                first.add(callers.submit(() -> firstStatus(address)));
            }
            try (ApiServer server = ApiServer.open(address, List.of(route))) {
                for (Future<Integer> status : first) {
                    assertThat(status.get(), is(204));
                }
            } finally {
                callers.shutdownNow();
            }
        }
    }

    private static int firstStatus(InetSocketAddress address) throws Exception {
        while (true) {
            try {
                return HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .build()
                        .send(request(address), HttpResponse.BodyHandlers.discarding())
                        .statusCode();
            } catch (ConnectException e) {
                // The server does not listen yet.
            }
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    private static HttpRequest request(InetSocketAddress address) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + "/late"))
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString("body"))
                .build();
    }

    private static int callInTurn(InetSocketAddress address) throws Exception {
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        HttpRequest request = request(address);
        int answered = 0;
        while (answered < CALLS
                && client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 204) {
            answered++;
        }
        return answered;
    }
}
