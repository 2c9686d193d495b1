package org.cornelcove.control.state;

import java.util.Optional;

import org.cornelcove.model.id.EntryId;

/**
 * The owner of a target or a key range. Immutable; each change creates a new instance.
 *
 * <p>A change of owner starts a new epoch that is not settled: requests of previous owners may still run. The leader
 * waits until they can no longer run and then assigns the same owner again, which settles the epoch. Settlement is
 * durable so that a later leader need not wait again for ownerships that changed long ago.
 *
 * @param epoch increases by one with each change of owner
 * @param owner the owner, empty if there is none
 * @param previous the most recent different owner, empty if there was none
 * @param settled whether no request of a previous owner can still run
 */
public record Ownership(long epoch, Optional<EntryId> owner, Optional<EntryId> previous, boolean settled) {
    static Ownership none(long epoch) {
        return new Ownership(epoch, Optional.empty(), Optional.empty(), true);
    }

    Ownership assign(Optional<EntryId> newOwner) {
        if (owner.equals(newOwner)) {
            return new Ownership(epoch, owner, previous, true);
        }
        Optional<EntryId> newPrevious = owner.or(() -> previous);
        return new Ownership(epoch + 1, newOwner, newPrevious, settled && owner.isEmpty());
    }

    /** Removes the owner because the entry restarted; its earlier incarnation may still act. */
    Ownership withdraw() {
        return new Ownership(epoch + 1, Optional.empty(), owner, false);
    }
}
