package org.cornelcove.bench.cluster;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;

import org.cornelcove.wire.Json;

/** One request to an api listener, never repeated from here; empty where no whole and good answer came. */
final class Api {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration TIMEOUT = Duration.ofSeconds(4);

    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();

    private Api() {}

    static boolean isGood(String address, String path) throws InterruptedException {
        return send(to(address, path).GET()).isPresent();
    }

    static <T> Optional<T> get(String address, String path, Class<T> type) throws InterruptedException {
        return send(to(address, path).GET())
                .flatMap(body -> Json.decode(body, type).toJavaOptional());
    }

    static <T> Optional<T> post(String address, String path, Object message, Class<T> type)
            throws InterruptedException {
        HttpRequest.BodyPublisher body = HttpRequest.BodyPublishers.ofByteArray(Json.encode(message));
        return send(to(address, path).POST(body))
                .flatMap(answer -> Json.decode(answer, type).toJavaOptional());
    }

    private static HttpRequest.Builder to(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .header("Content-Type", "application/json");
    }

    private static Optional<byte[]> send(HttpRequest.Builder request) throws InterruptedException {
        try {
            HttpResponse<byte[]> answer = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            return answer.statusCode() / 100 == 2 ? Optional.of(answer.body()) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
