package org.cornelcove.model.view;

import java.util.List;

import org.cornelcove.model.id.EntryId;

/**
 * The entries that an answer about the cluster covers. Entries without a lease serve no requests and are not asked; what
 * they did earlier is still missing from the answer.
 *
 * @param answered the entries that the answer covers
 * @param unanswered the live entries that did not answer in time
 * @param silent the entries without a lease, which were not asked
 * @param entriesKnown whether the leader supplied the list of entries; otherwise only the answering daemon's own entry is
 *     covered
 */
public record Coverage(List<EntryId> answered, List<EntryGap> unanswered, List<EntryId> silent, boolean entriesKnown) {
    /**
     * Returns whether every live entry is covered.
     *
     * @return false when the answer is partial
     */
    public boolean whole() {
        return entriesKnown && unanswered.isEmpty();
    }
}
