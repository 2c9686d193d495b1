package org.cornelcove.replication.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The pending writes and the messages that depend on them.
 *
 * <p>A message that promises durability (a vote, an acknowledged entry) is sent only after every earlier write is done.
 * A member with a slow disk then looks like one that is slow to respond, which the protocol allows.
 */
final class DiskQueue {
    /** A pending write. */
    static final class Pending {
        final long id;
        final List<Outgoing> heldMessages = new ArrayList<>();
        /** The last durable entry once this write is done. */
        long lastIndex;
        /** The term of the member's vote for itself that this write makes durable, 0 for none. */
        long ownVoteTerm;

        Optional<SnapshotMeta> snapshot = Optional.empty();

        Pending(long id, long lastIndex) {
            this.id = id;
            this.lastIndex = lastIndex;
        }
    }

    private final ArrayDeque<Pending> pending = new ArrayDeque<>();
    private long lastId;
    private long durableIndex;

    DiskQueue(long durableIndex) {
        this.durableIndex = durableIndex;
    }

    long durableIndex() {
        return durableIndex;
    }

    long nextId() {
        return lastId + 1;
    }

    Pending issue(long lastIndex) {
        lastId++;
        Pending write = new Pending(lastId, lastIndex);
        pending.add(write);
        return write;
    }

    /** Adds the messages to {@code sendNow}, or holds them until the last pending write is done. */
    void holdOrSend(List<Outgoing> messages, List<Outgoing> sendNow) {
        if (pending.isEmpty()) {
            sendNow.addAll(messages);
        } else {
            pending.getLast().heldMessages.addAll(messages);
        }
    }

    /** Removes and returns the writes up to the id, which are done. */
    List<Pending> complete(long id) {
        List<Pending> done = new ArrayList<>();
        while (!pending.isEmpty() && pending.peek().id <= id) {
            Pending write = pending.poll();
            durableIndex = Math.max(durableIndex, write.lastIndex);
            done.add(write);
        }
        return done;
    }

    /** Entries from the index on were truncated; earlier writes no longer make them durable. */
    void truncateFrom(long index) {
        durableIndex = Math.min(durableIndex, index - 1);
        pending.forEach(write -> write.lastIndex = Math.min(write.lastIndex, index - 1));
    }

    /** A snapshot up to the index replaced the log. */
    void reset(long index) {
        durableIndex = index;
        pending.forEach(write -> write.lastIndex = index);
    }
}
