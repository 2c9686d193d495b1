package org.cornelcove.model.message;

import java.util.List;

import org.cornelcove.model.id.TargetId;

/**
 * The targets that an entry owns: the full list, or the changes to a list that the entry already has. The grant of a
 * target that is not listed is unchanged; its last announcement was received no longer than {@code freshMs} ago and
 * has the same content as the one before.
 *
 * @param since the number of the heartbeat whose answer carried the list that these changes apply to, 0 for a full list
 * @param granted the new and changed grants; all of them in a full list
 * @param loads the new load of targets whose grant is unchanged
 * @param withdrawn targets that the entry no longer owns; empty in a full list
 * @param freshMs the greatest age of the last announcement of a target that is not listed, in milliseconds
 */
public record GrantChanges(
        long since, List<TargetGrant> granted, List<TargetLoad> loads, List<TargetId> withdrawn, long freshMs) {
    /** Returns a full list. */
    public static GrantChanges whole(List<TargetGrant> grants) {
        return new GrantChanges(0, grants, List.of(), List.of(), 0);
    }

    /** Returns whether this is a full list. */
    public boolean isWhole() {
        return since == 0;
    }
}
