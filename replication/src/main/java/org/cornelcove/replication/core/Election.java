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
    private final ReplicaCore core;
    private final CoreOptions options;
    private final SplittableRandom random;
    private final Map<Long, Long> votes = new HashMap<>();
    private long lastHeardMs;
    private long dueMs;

    Election(ReplicaCore core, boolean alone, long nowMs) {
        this.core = core;
        this.options = core.options;
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
        return core.role() == ReplicaCore.Role.LEADER || core.rules.refusesVotes(nowMs - lastHeardMs, options);
    }

    void askForPreVotes(long nowMs) {
        postpone(nowMs);
        if (!mayStand()) {
            return;
        }
        core.standForPreVote();
        votes.clear();
        votes.put(options.selfId(), core.incarnation);
        if (won()) {
            askForVotes(nowMs, false);
            return;
        }
        Message request = new Message.PreVoteRequest(core.log.tail.lastIndex(), core.log.tail.lastTerm());
        otherVoters().forEach(m -> core.outbox.send(m, m.incarnation(), core.term() + 1, request));
    }

    void answerPreVote(long nowMs, Envelope message, Message.PreVoteRequest request) {
        boolean granted = message.term() > core.term()
                && !leaderIsNear(nowMs)
                && core.log.isCoveredBy(request.lastIndex(), request.lastTerm());
        core.outbox.answer(message, granted ? message.term() : core.term(), new Message.PreVoteResponse(granted));
    }

    void takePreVote(long nowMs, Envelope message, Message.PreVoteResponse answer) {
        if (core.role() != ReplicaCore.Role.PRE_CANDIDATE || !answer.granted()) {
            return;
        }
        votes.put(message.from(), message.fromIncarnation());
        if (won()) {
            askForVotes(nowMs, false);
        }
    }

    void answerVote(long nowMs, Envelope message, Message.VoteRequest request) {
        boolean granted =
                core.log.isCoveredBy(request.lastIndex(), request.lastTerm()) && core.giveVote(message.from());
        if (granted) {
            postpone(nowMs);
        }
        core.outbox.answerOnceDurable(message, core.term(), new Message.VoteResponse(granted));
    }

    void takeVote(long nowMs, Envelope message, Message.VoteResponse answer) {
        if (core.role() == ReplicaCore.Role.CANDIDATE && answer.granted()) {
            count(nowMs, message.from(), message.fromIncarnation());
        }
    }

    void takeTransfer(long nowMs, Envelope message) {
        boolean byLeader = core.role() == ReplicaCore.Role.FOLLOWER && core.leaderId() == message.from();
        if (byLeader && mayStand()) {
            askForVotes(nowMs, true);
        }
    }

    /** Counts a vote; the member's own counts once it is durable, and nobody leads without it. */
    void count(long nowMs, long from, long incarnation) {
        votes.put(from, incarnation);
        if (votes.containsKey(options.selfId()) && won()) {
            core.lead(nowMs);
        }
    }

    private void askForVotes(long nowMs, boolean transfer) {
        core.standForElection();
        votes.clear();
        postpone(nowMs);
        Message request = new Message.VoteRequest(core.log.tail.lastIndex(), core.log.tail.lastTerm(), transfer);
        otherVoters().forEach(m -> core.outbox.sendOnceDurable(m, core.term(), request));
    }

    private boolean mayStand() {
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

    /** Tells whether the votes are a majority, or all of them while the group is not formed. */
    private boolean won() {
        Membership membership = core.log.membership();
        List<MemberRecord> voters = membership.voters();
        long given = voters.stream().filter(m -> votes.containsKey(m.id())).count();
        return membership.formed() ? given * 2 > voters.size() : given == voters.size() && given > 0;
    }

    /** Returns the data folder of each member that voted. */
    Map<Long, Long> incarnations() {
        return Map.copyOf(votes);
    }
}
