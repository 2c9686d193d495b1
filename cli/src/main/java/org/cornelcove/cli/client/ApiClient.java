package org.cornelcove.cli.client;

import java.io.IOException;
import java.net.ConnectException;
import java.net.ProtocolException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.channels.UnresolvedAddressException;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vavr.control.Either;
import org.cornelcove.cli.output.Json;
import org.cornelcove.cli.output.Text;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;

/**
 * Sends calls to the first endpoint that can carry them out.
 *
 * <p>An endpoint that can't be reached, has no quorum or is not cornelcoved is skipped for the next one. When the answer
 * is lost (the connection broke or the call timed out), the call may have been carried out: an idempotent call is then
 * resent unchanged to each endpoint for a few rounds; any other is reported as having an unknown outcome. A refusal by
 * the cluster ends the search at once.
 */
final class ApiClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_ANSWER_BYTES = 64 << 20;
    private static final int ROUNDS = 3;
    private static final long ROUND_PAUSE_MS = 300;

    private final Endpoints endpoints;
    private final long timeoutMs;
    private final Timing timing;
    private final HttpClient http;

    private ApiClient(Endpoints endpoints, long timeoutMs, Timing timing) {
        this.endpoints = endpoints;
        this.timeoutMs = timeoutMs;
        this.timing = timing;
        this.http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .followRedirects(HttpClient.Redirect.NEVER)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
    }

    static ApiClient of(Endpoints endpoints, long timeoutMs, Timing timing) {
        return new ApiClient(endpoints, timeoutMs, timing);
    }

    /** Carries out a call; when no endpoint can, returns one failure for each distinct kind, endpoint and reason. */
    Either<List<Failure>, Object> send(Call call) {
        Set<Failure> failures = new LinkedHashSet<>();
        Either<List<Failure>, Object> result = round(call, failures);
        for (int round = 1; round < ROUNDS && call.idempotent() && isLost(result); round++) {
            timing.pauseMs().accept(ROUND_PAUSE_MS);
            result = round(call, failures);
        }
        return result;
    }

    private static boolean isLost(Either<List<Failure>, Object> result) {
        return result.isLeft() && result.getLeft().stream().anyMatch(failure -> isLost(failure.kind()));
    }

    private static boolean isLost(ErrorKind kind) {
        return kind == ErrorKind.ANSWER_LOST
                || kind == ErrorKind.CALL_TIMEOUT
                || kind == ErrorKind.PROPOSAL_OUTCOME_UNKNOWN;
    }

    /** Tries each endpoint once. Failures of earlier rounds are kept, as a call lost then may have been carried out. */
    private Either<List<Failure>, Object> round(Call call, Set<Failure> failures) {
        for (URI base : endpoints.bases()) {
            Either<Failure, Object> answer = sendTo(base, call);
            if (answer.isRight()) {
                return Either.right(answer.get());
            }
            if (!mayTryNext(call, answer.getLeft().kind())) {
                return Either.left(List.of(answer.getLeft()));
            }
            failures.add(answer.getLeft());
        }
        return Either.left(List.copyOf(failures));
    }

    private static boolean mayTryNext(Call call, ErrorKind kind) {
        return switch (kind) {
            case ENDPOINT_UNREACHABLE,
                    UNEXPECTED_ANSWER,
                    NO_QUORUM,
                    NOT_LEADER,
                    PEER_UNREACHABLE,
                    CALL_NOT_SENT -> true;
            default -> isLost(kind) && call.idempotent();
        };
    }

    private Either<Failure, Object> sendTo(URI base, Call call) {
        CompletableFuture<HttpResponse<byte[]>> response =
                http.sendAsync(request(base, call), info -> new BoundedBody(MAX_ANSWER_BYTES));
        try {
            return Answers.read(call, base.getAuthority(), response.get(timeoutMs, TimeUnit.MILLISECONDS));
        } catch (TimeoutException e) {
            response.cancel(true);
            String reason = "no answer within " + timeoutMs + " ms";
            return Either.left(call.isRead() ? unreachable(base, reason) : answerLost(base, reason));
        } catch (ExecutionException e) {
            return Either.left(failureOf(base, call, e.getCause()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(answerLost(base, "interrupted"));
        }
    }

    private static HttpRequest request(URI base, Call call) {
        HttpRequest.Builder request = HttpRequest.newBuilder(base.resolve(call.path()))
                .header("Accept", "application/json")
                .method(call.method(), HttpRequest.BodyPublishers.noBody());
        if (call.body() != null) {
            request.header("Content-Type", "application/json")
                    .method(call.method(), HttpRequest.BodyPublishers.ofByteArray(bytesOf(call.body())));
        }
        return request.build();
    }

    private static byte[] bytesOf(Object body) {
        try {
            return Json.MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("not writable as JSON: " + body.getClass(), e);
        }
    }

    private static Failure failureOf(URI base, Call call, Throwable thrown) {
        if (thrown instanceof HttpConnectTimeoutException) {
            return unreachable(base, "no connection within " + CONNECT_TIMEOUT.toMillis() + " ms");
        }
        if (thrown instanceof ConnectException) {
            boolean unresolved = thrown.getCause() instanceof UnresolvedAddressException
                    || String.valueOf(thrown.getCause()).contains("UnresolvedAddress");
            return unreachable(base, unresolved ? "no such host" : "connection refused");
        }
        if (thrown instanceof ProtocolException || thrown instanceof BoundedBody.AnswerTooLargeException) {
            return Answers.unexpected(base.getAuthority(), Text.printable(String.valueOf(thrown.getMessage())));
        }
        String reason = "the connection was closed before an answer";
        return call.isRead() && thrown instanceof IOException
                ? Answers.unexpected(base.getAuthority(), reason)
                : answerLost(base, reason);
    }

    private static Failure unreachable(URI base, String reason) {
        return Failure.of(ErrorKind.ENDPOINT_UNREACHABLE, base.getAuthority(), reason);
    }

    private static Failure answerLost(URI base, String reason) {
        return Failure.of(ErrorKind.ANSWER_LOST, base.getAuthority(), reason);
    }
}
