package org.cornelcove.replication.core;

import org.cornelcove.model.error.Failure;

/** An event for the caller of {@link ReplicaCore}. Each request token is completed once. */
public sealed interface CoreEvent {
    /**
     * The request is done.
     *
     * @param token identifies the request to the caller
     * @param index the applied index of a read, else 0
     */
    record RequestDone(long token, long index) implements CoreEvent {}

    /**
     * The request or proposal failed.
     *
     * @param token identifies the request to the caller
     * @param failure the reason
     */
    record RequestFailed(long token, Failure failure) implements CoreEvent {}

    /**
     * This member is the leader and has applied all entries of earlier terms.
     *
     * @param term the term it leads
     */
    record LeadershipGained(long term) implements CoreEvent {}

    /**
     * This member is no longer the leader.
     *
     * @param term the term it led
     */
    record LeadershipLost(long term) implements CoreEvent {}

    /** This member's id is retired; it ignores all further input. */
    record Retired() implements CoreEvent {}
}
