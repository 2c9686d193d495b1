package org.cornelcove.model.view;

import java.util.Optional;

/**
 * One control member. Values that only the leader has are empty for the leader itself, and when no leader answered.
 *
 * @param id its number, never reused after the member was removed or lost its disk
 * @param address its address for the other members, {@code ip:port}
 * @param voting whether it votes
 * @param state its current state
 * @param unansweredMs the age of the newest request of the leader that it answered, in milliseconds
 * @param behindEntries the number of committed log entries not known to be durable on it
 */
public record MemberView(
        long id,
        String address,
        boolean voting,
        MemberState state,
        Optional<Long> unansweredMs,
        Optional<Long> behindEntries) {}
