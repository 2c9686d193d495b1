package org.cornelcove.work.group;

import java.util.Comparator;
import java.util.Optional;

import org.cornelcove.replication.Member;
import org.cornelcove.replication.MemberProgress;
import org.cornelcove.replication.ReplicaStatus;

/**
 * What a leader does when a host asks to become a member. One change at a time: first a member whose disk is lost or
 * that has gone silent makes room, then the newcomer joins. A group never grows beyond its size, because a member more
 * raises the quorum and a silent one counts against it.
 *
 * <p>A silent member is dropped only when a newcomer stands by; without one, the group would lose a vote and gain
 * nothing.
 */
public final class MembershipPlan {
    /** A member that has not answered for so long makes room for one that is there. */
    static final long SILENT_MS = 1500;

    /** What to do. */
    public enum Kind {
        /** Nothing: it is a member. */
        MEMBER,
        /** Add it. */
        ADD,
        /** Remove another member first. */
        REMOVE,
        /** There is no place for it now. */
        STAND_BY
    }

    /**
     * One step.
     *
     * @param kind what to do
     * @param memberId the member to add or remove
     */
    public record Step(Kind kind, long memberId) {}

    private MembershipPlan() {}

    /**
     * Decides about a newcomer, given the group as its leader knows it and the number of members it should have.
     *
     * @param group the group
     * @param size how many members the group should have
     * @param id the identifier
     * @param address the address
     * @return the next step
     */
    public static Step decide(ReplicaStatus group, int size, long id, String address) {
        Optional<Member> known =
                group.members().stream().filter(m -> m.id() == id).findFirst();
        if (known.isPresent()) {
            return new Step(Kind.MEMBER, id);
        }
        Optional<Member> sameAddress = group.members().stream()
                .filter(m -> m.address().equals(address))
                .findFirst();
        if (sameAddress.isPresent()) {
            return new Step(Kind.REMOVE, sameAddress.get().id());
        }
        if (group.members().size() < size) {
            return new Step(Kind.ADD, id);
        }
        return group.progress().stream()
                .filter(p -> p.unansweredMs() > SILENT_MS)
                .max(Comparator.comparingLong(MemberProgress::unansweredMs))
                .map(p -> new Step(Kind.REMOVE, p.id()))
                .orElse(new Step(Kind.STAND_BY, id));
    }
}
