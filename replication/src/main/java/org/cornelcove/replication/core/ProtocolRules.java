package org.cornelcove.replication.core;

import java.util.List;

/**
 * The decisions on which the guarantees rest, each in one place, so that a test can break one at a time and show that
 * its checkers notice.
 */
class ProtocolRules {
    /** The rules as they must be. */
    static final ProtocolRules INSTANCE = new ProtocolRules();

    /** An entry of an earlier term is committed only together with one of the leader's own. */
    boolean mayCommit(long entryTerm, long leaderTerm) {
        return entryTerm == leaderTerm;
    }

    /** A member that heard from a leader so short a time ago votes for nobody. */
    boolean refusesVotes(long sinceHeardMs, CoreOptions options) {
        return sinceHeardMs < options.electionMinMs();
    }

    /** A leader may read without asking so long after it sent what a majority answered. */
    boolean mayReadUnasked(long sinceSentMs, CoreOptions options) {
        return sinceSentMs < options.leaseMs();
    }

    /** Whose answers count for commits, reads and the leader's contact with its quorum. */
    List<MemberRecord> answerers(Membership membership) {
        return membership.voters();
    }

    /** The addition of a member is done once it votes by a committed entry, and holds what was committed by then. */
    boolean additionDone(boolean votes, long matchIndex, long wantedIndex) {
        return votes && matchIndex >= wantedIndex;
    }

    /** Whether two uncommitted changes of the membership may stand in the log. */
    boolean mayChangeMembers(long lastChangeIndex, long commitIndex) {
        return lastChangeIndex <= commitIndex;
    }

    /** Whether a refusal shows that the member lost what it had acknowledged. */
    boolean provesLoss(Progress progress, Message.AppendResponse refusal) {
        return progress.lacksMatched(refusal);
    }

    /** Whether a message may come from the member's data folder. */
    boolean admits(MemberRecord member, long incarnation) {
        return member.admits(incarnation);
    }
}
