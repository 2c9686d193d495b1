package org.cornelcove.replication.core;

import org.cornelcove.model.error.Failure;

/** What a step tells its caller. Each token is answered once. */
public sealed interface CoreEvent {
    /**
     * The request is done; {@code index} is the applied index of a read, else 0.
     *
     * @param token what the caller knows the request by
     * @param index the index
     */
    record RequestDone(long token, long index) implements CoreEvent {}

    /**
     * The request or proposal failed.
     *
     * @param token what the caller knows the request by
     * @param failure why
     */
    record RequestFailed(long token, Failure failure) implements CoreEvent {}

    /**
     * This member leads and has applied everything of earlier terms.
     *
     * @param term the term
     */
    record LeadershipGained(long term) implements CoreEvent {}

    /**
     * This member leads no longer.
     *
     * @param term the term
     */
    record LeadershipLost(long term) implements CoreEvent {}

    /** This member's id is retired; it takes no further part. */
    record Retired() implements CoreEvent {}
}
