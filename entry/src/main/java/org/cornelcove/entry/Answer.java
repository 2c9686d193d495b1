package org.cornelcove.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;

/**
 * The answer to a caller: the complete answer of a target, or an error answer of the entry itself.
 *
 * @param run the run state of the request
 * @param status the HTTP status
 * @param headers end-to-end headers
 * @param body the body
 * @param error the kind, present on error answers created by this entry
 * @param runFinished present if the run may continue at an owned target; completes once that target reports it finished
 */
record Answer(
        RunState run,
        int status,
        List<Header> headers,
        byte[] body,
        Optional<ErrorKind> error,
        Optional<CompletableFuture<Void>> runFinished) {

    /** Returns the error answer for a failure, with a Retry-After if the number of seconds is above 0. */
    static Answer ofFailure(RunState run, Failure failure, int retryAfterS) {
        List<Header> headers = new ArrayList<>();
        headers.add(new Header(Headers.CONTENT_TYPE, "application/json"));
        headers.add(new Header(Headers.ERROR, Integer.toString(failure.kind().number())));
        if (retryAfterS > 0) {
            headers.add(new Header(Headers.RETRY_AFTER, Integer.toString(retryAfterS)));
        }
        byte[] body = json(failure).getBytes(StandardCharsets.UTF_8);
        return new Answer(
                run, Statuses.of(failure.kind()), headers, body, Optional.of(failure.kind()), Optional.empty());
    }

    static Answer ofForwarded(ForwardedAnswer answer) {
        return new Answer(
                answer.run(), answer.status(), answer.headers(), answer.body(), Optional.empty(), Optional.empty());
    }

    ForwardedAnswer toForwarded() {
        return new ForwardedAnswer(run, status, headers, body);
    }

    /** Returns this answer for a request that may have run in an earlier attempt. */
    Answer orMayHaveRun() {
        return run == RunState.NOT_RUN ? new Answer(RunState.UNKNOWN, status, headers, body, error, runFinished) : this;
    }

    /** Returns this answer with a future that completes when its run is finished. */
    Answer withRunFinished(CompletableFuture<Void> finished) {
        return new Answer(run, status, headers, body, error, Optional.of(finished));
    }

    private static String json(Failure failure) {
        return "{\"number\":" + failure.kind().number() + ",\"kind\":\"" + failure.kind() + "\",\"severity\":\""
                + failure.kind().severity() + "\",\"message\":\"" + escape(failure.message()) + "\"}";
    }

    private static String escape(String text) {
        StringBuilder out = new StringBuilder(text.length() + 16);
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ' || c > '~') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        return out.toString();
    }
}
