package org.cornelcove.replication.core;

import java.util.List;

/**
 * The decisions on which the safety guarantees depend, each in one method, so that a test can break one at a time and
 * show that its checkers detect it.
 */
class ProtocolRules {
    /** The correct rules. */
    static final ProtocolRules INSTANCE = new ProtocolRules();

    /** An entry of an earlier term is committed only together with an entry of the leader's term. */
    boolean mayCommit(long entryTerm, long leaderTerm) {
        return entryTerm == leaderTerm;
    }

    /** A member grants no vote within the minimum election timeout after contact with a leader. */
    boolean refusesVotes(long sinceLeaderContactMs, CoreOptions options) {
        return sinceLeaderContactMs < options.electionMinMs();
    }

    /** A leader may serve a read without a round while the request that a majority answered is within the lease. */
    boolean leaseCovers(long sinceSentMs, CoreOptions options) {
        return sinceSentMs < options.leaseMs();
    }

    /** The members whose responses count for commits, reads and check quorum. */
    List<MemberRecord> quorumMembers(Membership membership) {
        return membership.voters();
    }

    /** An addition is done once the member is a voter by a committed entry and holds everything committed by then. */
    boolean additionDone(boolean votes, long matchIndex, long requiredIndex) {
        return votes && matchIndex >= requiredIndex;
    }

    /** A membership change may be appended only once the previous one is committed. */
    boolean mayChangeMembers(long lastChangeIndex, long commitIndex) {
        return lastChangeIndex <= commitIndex;
    }

    /** Whether a rejection proves that the member lost entries it had acknowledged. */
    boolean provesLoss(Progress progress, Message.AppendResponse refusal) {
        return progress.contradictsMatch(refusal);
    }

    /** Whether a message with the incarnation may come from the member. */
    boolean admits(MemberRecord member, long incarnation) {
        return member.admits(incarnation);
    }
}
