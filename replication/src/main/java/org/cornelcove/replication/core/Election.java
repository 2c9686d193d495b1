package org.cornelcove.replication.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Election timeout, pre-vote and vote handling of a member.
 *
 * <p>A member without contact to a leader for a random time between the two election timeouts first runs a pre-vote,
 * and raises its term only when a majority grants it. No member grants a vote within the minimum election timeout after
 * contact with a leader, or after its own start, because the time of the last contact is not stored.
 */
final class Election {
    private final ReplicaCore core;
    private final CoreOptions options;
    private final SplittableRandom random;
    private final Map<Long, Long> votes = new HashMap<>();
    private long lastLeaderContactMs;
    private long timeoutAtMs;

    Election(ReplicaCore core, boolean soleVoter, long nowMs) {
        this.core = core;
        this.options = core.options;
        this.random = new SplittableRandom(options.seed());
        leaderContacted(nowMs);
        if (soleVoter) {
            timeoutAtMs = nowMs;
        }
    }

    boolean timedOut(long nowMs) {
        return nowMs >= timeoutAtMs;
    }

    /** Records a message from the leader. */
    void leaderContacted(long nowMs) {
        lastLeaderContactMs = nowMs;
        resetTimeout(nowMs);
    }

    /** Starts a new random election timeout. */
    void resetTimeout(long nowMs) {
        long spread = options.electionMaxMs() - options.electionMinMs();
        timeoutAtMs = nowMs + options.electionMinMs() + random.nextLong(spread + 1);
    }

    boolean hasRecentLeader(long nowMs) {
        return core.role() == ReplicaCore.Role.LEADER || core.rules.refusesVotes(nowMs - lastLeaderContactMs, options);
    }

    void startPreVote(long nowMs) {
        resetTimeout(nowMs);
        if (!mayCampaign()) {
            return;
        }
        core.becomePreCandidate();
        votes.clear();
        votes.put(options.selfId(), core.incarnation);
        if (won()) {
            startElection(nowMs, false);
            return;
        }
        Message request = new Message.PreVoteRequest(core.log.tail.lastIndex(), core.log.tail.lastTerm());
        otherVoters().forEach(m -> core.outbox.send(m, m.incarnation(), core.term() + 1, request));
    }

    void handlePreVoteRequest(long nowMs, Envelope message, Message.PreVoteRequest request) {
        boolean granted = message.term() > core.term()
                && !hasRecentLeader(nowMs)
                && core.log.isUpToDate(request.lastIndex(), request.lastTerm());
        core.outbox.answer(message, granted ? message.term() : core.term(), new Message.PreVoteResponse(granted));
    }

    void handlePreVoteResponse(long nowMs, Envelope message, Message.PreVoteResponse answer) {
        if (core.role() != ReplicaCore.Role.PRE_CANDIDATE || !answer.granted()) {
            return;
        }
        votes.put(message.from(), message.fromIncarnation());
        if (won()) {
            startElection(nowMs, false);
        }
    }

    void handleVoteRequest(long nowMs, Envelope message, Message.VoteRequest request) {
        boolean granted =
                core.log.isUpToDate(request.lastIndex(), request.lastTerm()) && core.grantVote(message.from());
        if (granted) {
            resetTimeout(nowMs);
        }
        core.outbox.answerOnceDurable(message, core.term(), new Message.VoteResponse(granted));
    }

    void handleVoteResponse(long nowMs, Envelope message, Message.VoteResponse answer) {
        if (core.role() == ReplicaCore.Role.CANDIDATE && answer.granted()) {
            countVote(nowMs, message.from(), message.fromIncarnation());
        }
    }

    void handleTransferLeadership(long nowMs, Envelope message) {
        boolean byLeader = core.role() == ReplicaCore.Role.FOLLOWER && core.leaderId() == message.from();
        if (byLeader && mayCampaign()) {
            startElection(nowMs, true);
        }
    }

    /** Counts a vote. The member's own vote is counted once it is durable; no election is won before that. */
    void countVote(long nowMs, long from, long incarnation) {
        votes.put(from, incarnation);
        if (votes.containsKey(options.selfId()) && won()) {
            core.becomeLeader(nowMs);
        }
    }

    private void startElection(long nowMs, boolean transfer) {
        core.becomeCandidate();
        votes.clear();
        resetTimeout(nowMs);
        Message request = new Message.VoteRequest(core.log.tail.lastIndex(), core.log.tail.lastTerm(), transfer);
        otherVoters().forEach(m -> core.outbox.sendOnceDurable(m, core.term(), request));
    }

    private boolean mayCampaign() {
        boolean voter = core.log
                .membership()
                .find(options.selfId())
                .filter(m -> m.voting() && core.rules.admits(m, core.incarnation))
                .isPresent();
        return voter && !core.log.installing();
    }

    private List<MemberRecord> otherVoters() {
        return core.log.membership().voters().stream()
                .filter(m -> m.id() != options.selfId())
                .toList();
    }

    /** Returns whether a majority voted for this member, or every voter while one of them is unbound. */
    private boolean won() {
        Membership membership = core.log.membership();
        List<MemberRecord> voters = membership.voters();
        long granted = voters.stream().filter(m -> votes.containsKey(m.id())).count();
        return membership.allVotersBound() ? granted * 2 > voters.size() : granted == voters.size() && granted > 0;
    }

    /** Returns the incarnation of each member that voted, by member id. */
    Map<Long, Long> voteIncarnations() {
        return Map.copyOf(votes);
    }
}
