package org.cornelcove.work.group;

import java.util.Comparator;
import java.util.Optional;

import org.cornelcove.replication.Member;
import org.cornelcove.replication.MemberProgress;
import org.cornelcove.replication.ReplicaStatus;

/**
 * Decides what the leader does when a host asks to become a member. Membership changes one member at a time: first a
 * member that lost its disk or is unresponsive is removed, then the new one is added. The group never exceeds its
 * intended size, because an additional member raises the quorum and an unresponsive one counts against it.
 *
 * <p>An unresponsive member is removed only when a replacement asks to join; without one, the group would lose a vote
 * and gain nothing.
 */
public final class MembershipPlan {
    /** A member that has not answered for longer than this may be replaced. */
    static final long SILENT_MS = 1500;

    /** The action on a join request. */
    public enum Kind {
        /** None: the host already is a member. */
        MEMBER,
        /** Add the host. */
        ADD,
        /** Remove another member first. */
        REMOVE,
        /** None: the group is complete, and the host should ask again. */
        STAND_BY
    }

    /**
     * One membership change, or none.
     *
     * @param kind the action
     * @param memberId the member to add or remove; otherwise the host that asked
     */
    public record Step(Kind kind, long memberId) {}

    private MembershipPlan() {}

    /**
     * Decides about one join request.
     *
     * @param group the group as known to its leader
     * @param size the intended number of members
     * @param id the member id of the host that asks
     * @param address the address of the host that asks
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
