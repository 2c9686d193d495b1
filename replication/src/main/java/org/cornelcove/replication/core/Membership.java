package org.cornelcove.replication.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The members of the group and the ids that may never come back.
 *
 * <p>Two memberships that follow each other differ in one member, so that each majority of the one shares a member with
 * each majority of the other. An id is bound to one data folder by its {@linkplain MemberRecord#incarnation()
 * incarnation}; a member that comes back under its id with another folder has forgotten its votes and is refused.
 *
 * <p>The members of a new group are unbound. While one of them is, a leader needs the votes of all, which tell it every
 * incarnation; its first entry binds them. A folder lost after that is noticed by any quorum, and before that nothing
 * was acknowledged.
 *
 * @param members all members, by rising id
 * @param retired ids that were removed
 */
public record Membership(List<MemberRecord> members, SortedSet<Long> retired) {
    /** Without any member. */
    public static final Membership EMPTY = new Membership(List.of(), new TreeSet<>());

    /**
     * Finds a member.
     *
     * @param id the member
     * @return the member, if there is one
     */
    public Optional<MemberRecord> find(long id) {
        return members.stream().filter(m -> m.id() == id).findFirst();
    }

    /**
     * Tells whether the id belongs to a member that votes.
     *
     * @param id the member
     * @return true when it votes
     */
    public boolean votes(long id) {
        return find(id).filter(MemberRecord::voting).isPresent();
    }

    /**
     * Lists the members that vote.
     *
     * @return the voters
     */
    public List<MemberRecord> voters() {
        return members.stream().filter(MemberRecord::voting).toList();
    }

    /**
     * Tells whether every voter's data folder is known.
     *
     * @return true once every voter is bound
     */
    public boolean formed() {
        return voters().stream().noneMatch(m -> m.incarnation() == MemberRecord.UNBOUND);
    }

    /**
     * Returns this membership with a member added or replaced.
     *
     * @param member the member
     * @return the next membership
     */
    public Membership with(MemberRecord member) {
        List<MemberRecord> next = new ArrayList<>(members);
        next.removeIf(m -> m.id() == member.id());
        next.add(member);
        next.sort((a, b) -> Long.compare(a.id(), b.id()));
        return new Membership(List.copyOf(next), retired);
    }

    /**
     * Returns this membership without a member, whose id is retired.
     *
     * @param id the member
     * @return the next membership
     */
    public Membership without(long id) {
        SortedSet<Long> gone = new TreeSet<>(retired);
        gone.add(id);
        return new Membership(members.stream().filter(m -> m.id() != id).toList(), gone);
    }

    /**
     * Returns this membership with each member bound to the incarnation given for it.
     *
     * @param incarnations the incarnations by member id
     * @return the next membership
     */
    public Membership bound(Map<Long, Long> incarnations) {
        List<MemberRecord> next = members.stream()
                .map(m -> m.incarnation() == MemberRecord.UNBOUND && incarnations.containsKey(m.id())
                        ? new MemberRecord(m.id(), m.address(), m.voting(), incarnations.get(m.id()))
                        : m)
                .toList();
        return new Membership(next, retired);
    }
}
