package org.cornelcove.testkit;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.cornelcove.wire.Json;

/** Posts JSON to several api listeners in turn until one answers with success, starting with the last that did. */
final class ApiClient {
    private static final Duration TIMEOUT = Duration.ofMillis(1500);

    private final List<String> addresses;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();
    private int preferred;

    ApiClient(List<String> addresses) {
        this.addresses = addresses;
    }

    /** Returns the body of the first successful answer; empty if no listener gave one. */
    synchronized Optional<byte[]> post(String path, Object message) {
        byte[] body = Json.encode(message);
        for (int i = 0; i < addresses.size(); i++) {
            int candidate = (preferred + i) % addresses.size();
            Optional<byte[]> answer = postTo(addresses.get(candidate), path, body);
            if (answer.isPresent()) {
                preferred = candidate;
                return answer;
            }
        }
        return Optional.empty();
    }

    private Optional<byte[]> postTo(String address, String path, byte[] body) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                .build();
        try {
            HttpResponse<byte[]> answer = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return answer.statusCode() / 100 == 2 ? Optional.of(answer.body()) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }
}
