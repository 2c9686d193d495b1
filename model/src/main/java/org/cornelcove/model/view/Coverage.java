package org.cornelcove.model.view;

import java.util.List;

import org.cornelcove.model.id.EntryId;

/**
 * Which entries an answer about the cluster covers. Silent entries serve no requests and are not asked; what they did
 * before is missing all the same.
 *
 * @param answered the entries that the answer covers
 * @param unanswered the live entries that did not answer in time
 * @param silent the entries without a lease, which were not asked
 * @param entriesKnown whether the leader told the entries; otherwise only the asked daemon's own entry is covered
 */
public record Coverage(List<EntryId> answered, List<EntryGap> unanswered, List<EntryId> silent, boolean entriesKnown) {
    /**
     * Tells whether every live entry is covered.
     *
     * @return false when the answer is partial
     */
    public boolean whole() {
        return entriesKnown && unanswered.isEmpty();
    }
}
