package org.cornelcove.replication.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The writes under way and the messages that rest on them.
 *
 * <p>A message that promises something (a vote, an acknowledged entry) leaves only after every write issued before it is
 * done. That makes a member with a slow disk look like one that is slow to answer, which the protocol allows.
 */
final class DiskQueue {
    /** One write under way. */
    static final class Pending {
        final long id;
        final List<Outgoing> held = new ArrayList<>();
        /** The last entry of the log once this write is done. */
        long lastIndex;
        /** The term in which this write makes the member's vote for itself durable, 0 for none. */
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

    /** Sends the messages now, or holds them until the last write under way is done. */
    void holdOrSend(List<Outgoing> messages, List<Outgoing> sendNow) {
        if (pending.isEmpty()) {
            sendNow.addAll(messages);
        } else {
            pending.getLast().held.addAll(messages);
        }
    }

    /** Takes the writes up to the id, which are done. */
    List<Pending> complete(long id) {
        List<Pending> done = new ArrayList<>();
        while (!pending.isEmpty() && pending.peek().id <= id) {
            Pending write = pending.poll();
            durableIndex = Math.max(durableIndex, write.lastIndex);
            done.add(write);
        }
        return done;
    }

    /** Entries from the index on were replaced; writes issued before no longer vouch for them. */
    void truncateFrom(long index) {
        durableIndex = Math.min(durableIndex, index - 1);
        pending.forEach(write -> write.lastIndex = Math.min(write.lastIndex, index - 1));
    }

    /** A snapshot took the log's place. */
    void reset(long index) {
        durableIndex = index;
        pending.forEach(write -> write.lastIndex = index);
    }
}
