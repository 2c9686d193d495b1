package org.cornelcove.testkit.fault;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import org.cornelcove.model.view.ErrorView;
import org.cornelcove.wire.Json;

/** Sends each request over a new connection and never retries it. */
final class Http {
    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();

    private Http() {}

    /** The status is 0 if no connection could be established, and -1 if no complete answer arrived. */
    record Reply(int status, String run, byte[] body) {
        boolean isSuccess() {
            return status / 100 == 2;
        }

        <T> Optional<T> as(Class<T> type) {
            return isSuccess() ? Json.decode(body, type).toJavaOptional() : Optional.empty();
        }

        Optional<ErrorView> error() {
            return status > 0 && !isSuccess()
                    ? Json.decode(body, ErrorView.class).toJavaOptional()
                    : Optional.empty();
        }
    }

    static Reply get(String address, String path) {
        return send("GET", address, path, new byte[0], Map.of(), 4_000);
    }

    static Reply send(
            String method, String address, String path, byte[] body, Map<String, String> headers, long timeoutMs) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(timeoutMs))
                .header("Connection", "close")
                .method(method, HttpRequest.BodyPublishers.ofByteArray(body));
        headers.forEach(request::header);
        try {
            HttpResponse<byte[]> answer = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            String run = answer.headers().firstValue("Cornelcove-Run").orElse("");
            return new Reply(answer.statusCode(), run, answer.body());
        } catch (ConnectException | HttpConnectTimeoutException e) {
            return new Reply(0, "", new byte[0]);
        } catch (IOException e) {
            return new Reply(-1, "", new byte[0]);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Reply(-1, "", new byte[0]);
        }
    }
}
