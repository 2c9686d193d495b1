package org.cornelcove.control.state;

import java.util.Optional;

import org.cornelcove.model.id.EntryId;

/**
 * Who owns a target or a key range. Immutable; each change gives a new one.
 *
 * <p>A change of owner starts a new epoch that is not settled: requests of previous owners may still run. The leader
 * waits until they can't any more and then assigns the same owner again, which settles the epoch. That is durable so
 * that a leader which comes later needn't wait once more for ownerships that changed long ago.
 *
 * @param epoch rises by one with each change of owner
 * @param owner the owner
 * @param previous the last other owner before
 * @param settled no request of a previous owner can run any more
 */
public record Ownership(long epoch, Optional<EntryId> owner, Optional<EntryId> previous, boolean settled) {
    static Ownership none(long epoch) {
        return new Ownership(epoch, Optional.empty(), Optional.empty(), true);
    }

    Ownership assign(Optional<EntryId> next) {
        if (owner.equals(next)) {
            return new Ownership(epoch, owner, previous, true);
        }
        Optional<EntryId> last = owner.or(() -> previous);
        return new Ownership(epoch + 1, next, last, settled && owner.isEmpty());
    }

    /** Takes the ownership from an entry that was started again; its earlier start may still act. */
    Ownership withdraw() {
        return new Ownership(epoch + 1, Optional.empty(), owner, false);
    }
}
