package org.cornelcove.model.view;

import java.util.Optional;

/**
 * One control member. What only the leader knows is empty for the leader itself, and where no leader answered.
 *
 * @param id never used again after the member is removed or has lost its disk
 * @param address where its peers reach it, {@code ip:port}
 * @param voting whether it votes
 * @param state what it does now
 * @param unansweredMs the age of the newest request of the leader that it answered
 * @param behindEntries how many committed entries are not known to be durable there
 */
public record MemberView(
        long id,
        String address,
        boolean voting,
        MemberState state,
        Optional<Long> unansweredMs,
        Optional<Long> behindEntries) {}
