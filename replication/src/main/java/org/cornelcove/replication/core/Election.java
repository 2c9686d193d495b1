package org.cornelcove.replication.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * When a member stands for election, for whom it votes, and who voted for it.
 *
 * <p>A member that hears from no leader for a random time between the two election timeouts first asks whether it could
 * win (pre-vote), and raises its term only when a majority says so. Nobody votes within the shortest timeout after it
 * heard from a leader, or after its own start, when it may have forgotten that it did.
 */
final class Election {
    private final CoreOptions options;
    private final ProtocolRules rules;
    private final SplittableRandom random;
    private final Map<Long, Long> votes = new HashMap<>();
    private long lastHeardMs;
    private long dueMs;

    Election(CoreOptions options, ProtocolRules rules, boolean alone, long nowMs) {
        this.options = options;
        this.rules = rules;
        this.random = new SplittableRandom(options.seed());
        heard(nowMs);
        if (alone) {
            dueMs = nowMs;
        }
    }

    boolean due(long nowMs) {
        return nowMs >= dueMs;
    }

    /** Takes note of a sign of life from the leader. */
    void heard(long nowMs) {
        lastHeardMs = nowMs;
        postpone(nowMs);
    }

    /** Begins a new timeout. */
    void postpone(long nowMs) {
        long spread = options.electionMaxMs() - options.electionMinMs();
        dueMs = nowMs + options.electionMinMs() + random.nextLong(spread + 1);
    }

    boolean leaderIsNear(long nowMs) {
        return rules.refusesVotes(nowMs - lastHeardMs, options);
    }

    void begin() {
        votes.clear();
    }

    void count(long from, long incarnation) {
        votes.put(from, incarnation);
    }

    boolean countsOwn() {
        return votes.containsKey(options.selfId());
    }

    /** Tells whether the votes are a majority, or all of them while the group is not formed. */
    boolean won(Membership membership) {
        List<MemberRecord> voters = membership.voters();
        long count = voters.stream().filter(m -> votes.containsKey(m.id())).count();
        return membership.formed() ? count * 2 > voters.size() : count == voters.size() && count > 0;
    }

    /** Returns the data folder of each member that voted. */
    Map<Long, Long> incarnations() {
        return Map.copyOf(votes);
    }
}
