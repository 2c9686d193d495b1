package org.cornelcove.cli.client;

import java.io.ByteArrayOutputStream;
import java.net.http.HttpResponse.BodySubscriber;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/** Collects a body up to a limit, so that an endless answer, as from a wrong port, can't exhaust the memory. */
final class BoundedBody implements BodySubscriber<byte[]> {
    private final int maxBytes;
    private final ByteArrayOutputStream collected = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> body = new CompletableFuture<>();
    private Flow.Subscription subscription;

    BoundedBody(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    @Override
    public CompletionStage<byte[]> getBody() {
        return body;
    }

    @Override
    public void onSubscribe(Flow.Subscription given) {
        subscription = given;
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        for (ByteBuffer buffer : buffers) {
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            if (collected.size() + bytes.length > maxBytes) {
                subscription.cancel();
                body.completeExceptionally(new AnswerTooLargeException(maxBytes));
                return;
            }
            collected.writeBytes(bytes);
        }
    }

    @Override
    public void onError(Throwable thrown) {
        body.completeExceptionally(thrown);
    }

    @Override
    public void onComplete() {
        body.complete(collected.toByteArray());
    }

    /** Thrown when an answer is larger than any that the daemon sends. */
    static final class AnswerTooLargeException extends java.io.IOException {
        AnswerTooLargeException(int maxBytes) {
            super("the answer is over " + maxBytes + " bytes");
        }
    }
}
