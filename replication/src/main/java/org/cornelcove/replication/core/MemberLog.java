package org.cornelcove.replication.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongUnaryOperator;

/**
 * A member's log and the state derived from it: the membership at each entry, the durable, committed and applied
 * indices, the snapshot, and the next write.
 *
 * <p>Invariants: {@code snapshot <= applied <= commit} and {@code applied <= durable}; entries at or before the commit
 * index are never truncated; each entry is written to disk once, in order.
 */
final class MemberLog {
    final LogTail tail;
    final MembershipHistory history;
    final DiskQueue disk;
    private final CoreOptions options;
    private final SnapshotReceiver receiver = new SnapshotReceiver();
    private long commitIndex;
    private long appliedIndex;
    private SnapshotMeta snapshot;
    private Optional<SnapshotMeta> restore;

    private Vote writtenVote;
    /** The last entry included in a disk write. */
    private long writtenIndex;
    /** The first entry on disk to truncate, 0 for none. */
    private long truncateFrom;

    private Optional<DiskWrite.TakenSnapshot> takenSnapshot = Optional.empty();
    private long compactThrough;
    /** The last entry passed to the state machine. */
    private long deliveredIndex;

    private long deliveredBytes;
    private boolean snapshotRequested;

    MemberLog(CoreOptions options, StoredState stored, Membership initial) {
        this.options = options;
        this.snapshot = stored.snapshot();
        long base = snapshot.index();
        this.tail = new LogTail(base, snapshot.term());
        this.history = new MembershipHistory(base, base == 0 ? initial : snapshot.membership());
        stored.entries().stream().filter(e -> e.index() > base).forEach(this::add);
        this.disk = new DiskQueue(tail.lastIndex());
        this.writtenVote = stored.vote();
        this.writtenIndex = tail.lastIndex();
        this.commitIndex = base;
        this.appliedIndex = base;
        this.deliveredIndex = base;
        this.restore = base == 0 ? Optional.empty() : Optional.of(snapshot);
    }

    long commitIndex() {
        return commitIndex;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    SnapshotMeta snapshot() {
        return snapshot;
    }

    Membership membership() {
        return history.current();
    }

    Membership committedMembership() {
        return history.at(commitIndex);
    }

    /** Returns whether the disk is replacing the log by a received snapshot; the log must not change meanwhile. */
    boolean installing() {
        return receiver.installing();
    }

    void commitThrough(long index) {
        commitIndex = Math.max(commitIndex, index);
    }

    void applied(long index) {
        appliedIndex = Math.max(appliedIndex, index);
    }

    boolean isUpToDate(long lastIndex, long lastTerm) {
        return lastTerm > tail.lastTerm() || lastTerm == tail.lastTerm() && lastIndex >= tail.lastIndex();
    }

    long append(long term, EntryKind kind, byte[] payload) {
        add(new LogEntry(tail.lastIndex() + 1, term, kind, payload));
        return tail.lastIndex();
    }

    // Entries and snapshots from the leader

    /** Appends the leader's entries and returns the response. */
    Message.AppendResponse handleAppend(Message.AppendRequest request) {
        long prev = request.prevIndex();
        if (prev > commitIndex && tail.term(prev) != request.prevTerm()) {
            long hint = Math.min(prev - 1, tail.lastIndexWithTermAtMost(prev, request.prevTerm()));
            return new Message.AppendResponse(
                    false, Math.max(hint, commitIndex), prev, request.round(), request.sentMs());
        }
        request.entries().forEach(this::appendIfNew);
        long lastNew = prev + request.entries().size();
        commitThrough(Math.min(request.commitIndex(), lastNew));
        return new Message.AppendResponse(true, lastNew, prev, request.round(), request.sentMs());
    }

    /** Accepts a snapshot chunk. Returns the response, empty if it must wait until the snapshot is installed. */
    Optional<Message> handleChunk(Message.SnapshotChunk chunk) {
        long index = chunk.snapshotIndex();
        if (index > commitIndex && tail.term(index) == chunk.snapshotTerm()) {
            commitIndex = index;
        }
        if (index <= commitIndex) {
            return Optional.of(new Message.AppendResponse(true, index, index, chunk.round(), chunk.sentMs()));
        }
        long nextOffset = receiver.offer(chunk);
        return installing()
                ? Optional.empty()
                : Optional.of(new Message.SnapshotResponse(index, nextOffset, chunk.round(), chunk.sentMs()));
    }

    /** Adopts an installed snapshot, or requests it again from offset 0 when it was damaged; returns the response. */
    Optional<Message> install(Optional<SnapshotMeta> installed) {
        Optional<Message.SnapshotChunk> lastChunk = receiver.finish();
        installed.ifPresent(this::replaceLogWith);
        return lastChunk.map(chunk -> installed.isPresent()
                ? new Message.AppendResponse(
                        true, installed.get().index(), installed.get().index(), chunk.round(), chunk.sentMs())
                : new Message.SnapshotResponse(chunk.snapshotIndex(), 0, chunk.round(), chunk.sentMs()));
    }

    private void appendIfNew(LogEntry entry) {
        if (entry.index() <= commitIndex || tail.term(entry.index()) == entry.term()) {
            return;
        }
        if (entry.index() <= tail.lastIndex()) {
            truncateLogFrom(entry.index());
        }
        add(entry);
    }

    private void add(LogEntry entry) {
        tail.append(entry);
        history.append(entry);
    }

    private void truncateLogFrom(long index) {
        tail.truncateFrom(index);
        history.truncateFrom(index);
        disk.truncateFrom(index);
        if (index <= writtenIndex) {
            writtenIndex = index - 1;
            truncateFrom = truncateFrom == 0 ? index : Math.min(truncateFrom, index);
        }
    }

    private void replaceLogWith(SnapshotMeta meta) {
        if (meta.index() <= commitIndex) {
            return;
        }
        snapshot = meta;
        tail.reset(meta.index(), meta.term());
        history.reset(meta.index(), meta.membership());
        disk.reset(meta.index());
        writtenIndex = meta.index();
        truncateFrom = 0;
        commitIndex = meta.index();
        deliveredIndex = meta.index();
        deliveredBytes = 0;
        takenSnapshot = Optional.empty();
        snapshotRequested = false;
        restore = Optional.of(meta);
    }

    // Own snapshots

    /** Returns whether the state machine must take a snapshot now. */
    boolean shouldTakeSnapshot(boolean sendingSnapshot) {
        boolean due = deliveredIndex - snapshot.index() >= options.snapshotEveryEntries()
                || deliveredBytes >= options.snapshotEveryBytes();
        if (!due || sendingSnapshot || snapshotRequested || installing() || deliveredIndex == snapshot.index()) {
            return false;
        }
        snapshotRequested = true;
        deliveredBytes = 0;
        return true;
    }

    void snapshotTaken(long index, byte[] state) {
        if (index <= snapshot.index() || index < tail.baseIndex()) {
            snapshotRequested = false;
            return;
        }
        SnapshotMeta meta = new SnapshotMeta(index, tail.term(index), history.at(index));
        takenSnapshot = Optional.of(new DiskWrite.TakenSnapshot(meta, state));
    }

    void snapshotSaved(SnapshotMeta meta) {
        snapshotRequested = false;
        if (meta.index() <= snapshot.index()) {
            return;
        }
        snapshot = meta;
        long through = meta.index() - options.retainedEntries();
        if (through > tail.baseIndex()) {
            tail.compactThrough(through);
            history.compactThrough(through);
            compactThrough = through;
        }
    }

    // Pending work

    Optional<SnapshotMeta> takeRestore() {
        Optional<SnapshotMeta> taken = restore;
        restore = Optional.empty();
        return taken;
    }

    /** Returns the committed and durable entries not yet passed to the state machine. */
    List<Ready.Apply> takeApplies(LongUnaryOperator tokenOf) {
        long through = Math.min(commitIndex, disk.durableIndex());
        List<Ready.Apply> applies = new ArrayList<>();
        while (deliveredIndex < through) {
            deliveredIndex++;
            LogEntry entry = tail.get(deliveredIndex);
            deliveredBytes += entry.payload().length;
            applies.add(new Ready.Apply(entry, tokenOf.applyAsLong(deliveredIndex)));
        }
        return applies;
    }

    /** Returns the pending write, if there is one. */
    Optional<DiskWrite> takeWrite(Vote vote, long ownVoteTerm) {
        Optional<Message.SnapshotChunk> chunk = receiver.takeChunk();
        boolean nothingToWrite = vote.equals(writtenVote)
                && truncateFrom == 0
                && writtenIndex == tail.lastIndex()
                && chunk.isEmpty()
                && takenSnapshot.isEmpty()
                && compactThrough == 0;
        if (nothingToWrite) {
            return Optional.empty();
        }
        DiskQueue.Pending pending = disk.issue(tail.lastIndex());
        pending.ownVoteTerm = ownVoteTerm;
        pending.snapshot = takenSnapshot.map(DiskWrite.TakenSnapshot::meta);
        DiskWrite write = new DiskWrite(
                pending.id,
                vote.equals(writtenVote) ? Optional.empty() : Optional.of(vote),
                truncateFrom,
                tail.entriesFrom(writtenIndex + 1),
                chunk,
                takenSnapshot,
                compactThrough);
        writtenVote = vote;
        writtenIndex = tail.lastIndex();
        truncateFrom = 0;
        takenSnapshot = Optional.empty();
        compactThrough = 0;
        return Optional.of(write);
    }
}
