package org.cornelcove.model.message;

import java.util.List;

import org.cornelcove.model.id.TargetId;

/**
 * All targets that an entry owns: the whole list, or what changed since a list that the entry holds. Of a target that is
 * not named, the grant is as it was, and its last announcement was heard no longer than {@code freshMs} ago and says
 * what the one before said.
 *
 * @param since the heartbeat whose answer brought the list that these changes go on from, 0 for the whole list
 * @param granted the grants that are new or other than before; all of them in a whole list
 * @param loads of targets whose grant is as it was
 * @param withdrawn targets that the entry no longer owns; empty in a whole list
 * @param freshMs how old the last announcement of a target that is not named can be
 */
public record GrantChanges(
        long since, List<TargetGrant> granted, List<TargetLoad> loads, List<TargetId> withdrawn, long freshMs) {
    /** Returns a whole list. */
    public static GrantChanges whole(List<TargetGrant> grants) {
        return new GrantChanges(0, grants, List.of(), List.of(), 0);
    }

    /** Tells whether this is the whole list. */
    public boolean isWhole() {
        return since == 0;
    }
}
