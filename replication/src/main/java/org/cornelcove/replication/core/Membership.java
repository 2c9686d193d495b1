package org.cornelcove.replication.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The members of the group and the retired ids, which are never reused.
 *
 * <p>Successive memberships differ in one member, so that every majority of one overlaps every majority of the other.
 * An id is bound to one data folder by its {@linkplain MemberRecord#incarnation() incarnation}; a member that restarts
 * under its id with another folder has lost its votes and is rejected.
 *
 * <p>The members of a new group are unbound. While a voter is unbound, a candidate needs the votes of all voters, which
 * carry their incarnations; the first entry of the leader binds them. Any quorum detects a folder lost after that, and
 * before that nothing was acknowledged.
 *
 * @param members all members, by ascending id
 * @param retired ids that were removed
 */
public record Membership(List<MemberRecord> members, SortedSet<Long> retired) {
    /** The membership without members. */
    public static final Membership EMPTY = new Membership(List.of(), new TreeSet<>());

    /**
     * Finds a member.
     *
     * @param id the member's id
     * @return the member, empty when the id is not a current member
     */
    public Optional<MemberRecord> find(long id) {
        return members.stream().filter(m -> m.id() == id).findFirst();
    }

    /**
     * Returns whether the id belongs to a voter.
     *
     * @param id the member's id
     * @return false for a learner and for an unknown id
     */
    public boolean votes(long id) {
        return find(id).filter(MemberRecord::voting).isPresent();
    }

    /**
     * Returns the voters.
     *
     * @return all members but the learners, by ascending id
     */
    public List<MemberRecord> voters() {
        return members.stream().filter(MemberRecord::voting).toList();
    }

    /**
     * Returns whether every voter's data folder is known.
     *
     * @return true once every voter is bound
     */
    public boolean allVotersBound() {
        return voters().stream().noneMatch(m -> m.incarnation() == MemberRecord.UNBOUND);
    }

    /**
     * Returns this membership with a member added or replaced.
     *
     * @param member replaces the member with the same id, if there is one
     * @return a new membership
     */
    public Membership with(MemberRecord member) {
        List<MemberRecord> next = new ArrayList<>(members);
        next.removeIf(m -> m.id() == member.id());
        next.add(member);
        next.sort((a, b) -> Long.compare(a.id(), b.id()));
        return new Membership(List.copyOf(next), retired);
    }

    /**
     * Returns this membership without a member and with its id retired.
     *
     * @param id the id of the member to remove
     * @return a new membership
     */
    public Membership without(long id) {
        SortedSet<Long> nextRetired = new TreeSet<>(retired);
        nextRetired.add(id);
        return new Membership(members.stream().filter(m -> m.id() != id).toList(), nextRetired);
    }

    /**
     * Returns this membership with unbound members bound to their incarnations.
     *
     * @param incarnations the incarnations by member id; members not in the map stay unbound
     * @return a new membership
     */
    public Membership bindIncarnations(Map<Long, Long> incarnations) {
        List<MemberRecord> next = members.stream()
                .map(m -> m.incarnation() == MemberRecord.UNBOUND && incarnations.containsKey(m.id())
                        ? new MemberRecord(m.id(), m.address(), m.voting(), incarnations.get(m.id()))
                        : m)
                .toList();
        return new Membership(next, retired);
    }
}
