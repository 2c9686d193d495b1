package org.cornelcove.replication.core;

import java.util.List;
import java.util.Optional;

/** Deliberately broken implementations, each of which a checker must detect. */
enum Mutant {
    NONE,
    ACKNOWLEDGES_BEFORE_SYNC,
    FORGETS_ITS_VOTE,
    COMMITS_OLD_TERMS,
    VOTES_AT_ANY_TIME,
    READS_WITHOUT_LEASE,
    LEARNERS_COUNT,
    ADDITION_DONE_EARLY,
    LOST_DISK_UNNOTICED,
    RESTORED_COPY_UNNOTICED,
    CHANGES_OVERLAP,
    SNAPSHOT_NOT_RESTORED,
    APPENDS_TWICE,
    REFUSES_WHAT_IT_APPENDED,
    NEVER_VOTES;

    /** Returns the protocol's rules with this mutant's defect. */
    ProtocolRules rules() {
        return new ProtocolRules() {
            @Override
            boolean mayCommit(long entryTerm, long leaderTerm) {
                return Mutant.this == COMMITS_OLD_TERMS || super.mayCommit(entryTerm, leaderTerm);
            }

            @Override
            boolean refusesVotes(long sinceLeaderContactMs, CoreOptions options) {
                return Mutant.this == NEVER_VOTES
                        || Mutant.this != VOTES_AT_ANY_TIME && super.refusesVotes(sinceLeaderContactMs, options);
            }

            @Override
            boolean leaseCovers(long sinceSentMs, CoreOptions options) {
                return Mutant.this == READS_WITHOUT_LEASE || super.leaseCovers(sinceSentMs, options);
            }

            @Override
            List<MemberRecord> quorumMembers(Membership membership) {
                return Mutant.this == LEARNERS_COUNT ? membership.members() : super.quorumMembers(membership);
            }

            @Override
            boolean additionDone(boolean votes, long matchIndex, long requiredIndex) {
                return Mutant.this == ADDITION_DONE_EARLY || super.additionDone(votes, matchIndex, requiredIndex);
            }

            @Override
            boolean provesLoss(Progress progress, Message.AppendResponse refusal) {
                return Mutant.this != RESTORED_COPY_UNNOTICED && super.provesLoss(progress, refusal);
            }

            @Override
            boolean mayChangeMembers(long lastChangeIndex, long commitIndex) {
                return Mutant.this == CHANGES_OVERLAP || super.mayChangeMembers(lastChangeIndex, commitIndex);
            }
        };
    }

    DiskWrite alter(DiskWrite write) {
        return this != FORGETS_ITS_VOTE
                ? write
                : new DiskWrite(
                        write.id(),
                        Optional.empty(),
                        write.truncateFrom(),
                        write.entries(),
                        write.chunk(),
                        write.snapshot(),
                        write.compactThrough());
    }
}
