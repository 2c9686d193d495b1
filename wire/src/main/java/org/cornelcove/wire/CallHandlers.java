package org.cornelcove.wire;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;

/** The handlers of incoming calls by name. Handlers must not block; they answer by completing a future. */
public final class CallHandlers {
    private final Map<String, Function<byte[], CompletableFuture<byte[]>>> byName = new ConcurrentHashMap<>();

    private CallHandlers() {}

    /**
     * Returns an empty set of handlers.
     *
     * @return a mutable set
     */
    public static CallHandlers create() {
        return new CallHandlers();
    }

    /**
     * Registers the handler of a call that is answered, replacing an earlier one of the same name.
     *
     * @param call the call
     * @param handler returns the answer; a {@link org.cornelcove.model.error.FailureException} is sent to the caller unchanged
     * @param <Q> the request's type
     * @param <R> the answer's type
     * @return this
     */
    public <Q, R> CallHandlers answer(Call<Q, R> call, Function<Q, CompletableFuture<R>> handler) {
        byName.put(call.name(), body -> handler.apply(Call.fromBytes(body, call.requestType()))
                .thenApply(Call::toBytes));
        return this;
    }

    /**
     * Registers the handler of a notice, which is not answered, replacing an earlier one of the same name.
     *
     * @param call the call
     * @param handler receives the message
     * @param <Q> the message's type
     * @return this
     */
    public <Q> CallHandlers take(Call<Q, ?> call, Consumer<Q> handler) {
        byName.put(call.name(), body -> {
            handler.accept(Call.fromBytes(body, call.requestType()));
            return CompletableFuture.completedFuture(new byte[0]);
        });
        return this;
    }

    Optional<Function<byte[], CompletableFuture<byte[]>>> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }
}
