package org.cornelcove.replication.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongUnaryOperator;

/**
 * A member's log with all that hangs on it: the membership at each entry, what is durable, committed and applied, the
 * snapshot, and what must be written next.
 *
 * <p>Invariants: {@code snapshot <= applied <= commit} and {@code applied <= durable}; entries at or before the commit
 * index are never cut off; entries go to the disk once, in order.
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
    /** The last entry that was handed to the disk. */
    private long writtenIndex;
    /** The first entry on disk that must be cut off, 0 for none. */
    private long truncateFrom;

    private Optional<DiskWrite.TakenSnapshot> takenSnapshot = Optional.empty();
    private long compactThrough;
    /** The last entry that was handed to the state machine. */
    private long issuedIndex;

    private long issuedBytes;
    private boolean snapshotWanted;

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
        this.issuedIndex = base;
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

    /** Tells whether the disk is putting a received snapshot in the log's place; the log must stay as it is. */
    boolean installing() {
        return receiver.finishing();
    }

    void commitThrough(long index) {
        commitIndex = Math.max(commitIndex, index);
    }

    void applied(long index) {
        appliedIndex = Math.max(appliedIndex, index);
    }

    boolean isCoveredBy(long lastIndex, long lastTerm) {
        return lastTerm > tail.lastTerm() || lastTerm == tail.lastTerm() && lastIndex >= tail.lastIndex();
    }

    long append(long term, EntryKind kind, byte[] payload) {
        add(new LogEntry(tail.lastIndex() + 1, term, kind, payload));
        return tail.lastIndex();
    }

    // What a leader sends

    /** Takes a leader's entries and returns the answer. */
    Message.AppendResponse take(Message.AppendRequest request) {
        long prev = request.prevIndex();
        if (prev > commitIndex && tail.term(prev) != request.prevTerm()) {
            long hint = Math.min(prev - 1, tail.lastCandidate(prev, request.prevTerm()));
            return new Message.AppendResponse(
                    false, Math.max(hint, commitIndex), prev, request.round(), request.sentMs());
        }
        request.entries().forEach(this::take);
        long lastNew = prev + request.entries().size();
        commitThrough(Math.min(request.commitIndex(), lastNew));
        return new Message.AppendResponse(true, lastNew, prev, request.round(), request.sentMs());
    }

    /** Takes a piece of a snapshot and returns the answer, if it can be given before the disk is done. */
    Optional<Message> take(Message.SnapshotChunk chunk) {
        long index = chunk.snapshotIndex();
        if (index > commitIndex && tail.term(index) == chunk.snapshotTerm()) {
            commitIndex = index;
        }
        if (index <= commitIndex) {
            return Optional.of(new Message.AppendResponse(true, index, index, chunk.round(), chunk.sentMs()));
        }
        long wanted = receiver.offer(chunk);
        return installing()
                ? Optional.empty()
                : Optional.of(new Message.SnapshotResponse(index, wanted, chunk.round(), chunk.sentMs()));
    }

    /** Takes over a snapshot that is in place on disk, or begins anew when it was damaged; returns the answer. */
    Optional<Message> install(Optional<SnapshotMeta> installed) {
        Optional<Message.SnapshotChunk> last = receiver.finish();
        installed.ifPresent(this::adopt);
        return last.map(chunk -> installed.isPresent()
                ? new Message.AppendResponse(
                        true, installed.get().index(), installed.get().index(), chunk.round(), chunk.sentMs())
                : new Message.SnapshotResponse(chunk.snapshotIndex(), 0, chunk.round(), chunk.sentMs()));
    }

    private void take(LogEntry entry) {
        if (entry.index() <= commitIndex || tail.term(entry.index()) == entry.term()) {
            return;
        }
        if (entry.index() <= tail.lastIndex()) {
            cutFrom(entry.index());
        }
        add(entry);
    }

    private void add(LogEntry entry) {
        tail.append(entry);
        history.append(entry);
    }

    private void cutFrom(long index) {
        tail.truncateFrom(index);
        history.truncateFrom(index);
        disk.truncateFrom(index);
        if (index <= writtenIndex) {
            writtenIndex = index - 1;
            truncateFrom = truncateFrom == 0 ? index : Math.min(truncateFrom, index);
        }
    }

    private void adopt(SnapshotMeta meta) {
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
        issuedIndex = meta.index();
        issuedBytes = 0;
        takenSnapshot = Optional.empty();
        snapshotWanted = false;
        restore = Optional.of(meta);
    }

    // Own snapshots

    /** Tells whether the state machine shall take a snapshot now. */
    boolean wantsSnapshot(boolean sendingOne) {
        boolean due = issuedIndex - snapshot.index() >= options.snapshotEveryEntries()
                || issuedBytes >= options.snapshotEveryBytes();
        if (!due || sendingOne || snapshotWanted || installing() || issuedIndex == snapshot.index()) {
            return false;
        }
        snapshotWanted = true;
        issuedBytes = 0;
        return true;
    }

    void snapshotTaken(long index, byte[] state) {
        if (index <= snapshot.index() || index < tail.baseIndex()) {
            snapshotWanted = false;
            return;
        }
        SnapshotMeta meta = new SnapshotMeta(index, tail.term(index), history.at(index));
        takenSnapshot = Optional.of(new DiskWrite.TakenSnapshot(meta, state));
    }

    void snapshotSaved(SnapshotMeta meta) {
        snapshotWanted = false;
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

    // What is to be done

    Optional<SnapshotMeta> takeRestore() {
        Optional<SnapshotMeta> taken = restore;
        restore = Optional.empty();
        return taken;
    }

    /** Takes the committed and durable entries that the state machine has not got yet. */
    List<Ready.Apply> takeApplies(LongUnaryOperator tokenOf) {
        long through = Math.min(commitIndex, disk.durableIndex());
        List<Ready.Apply> applies = new ArrayList<>();
        while (issuedIndex < through) {
            issuedIndex++;
            LogEntry entry = tail.get(issuedIndex);
            issuedBytes += entry.payload().length;
            applies.add(new Ready.Apply(entry, tokenOf.applyAsLong(issuedIndex)));
        }
        return applies;
    }

    /** Takes what must be written, if there is anything. */
    Optional<DiskWrite> takeWrite(Vote vote, long ownVoteTerm) {
        Optional<Message.SnapshotChunk> chunk = receiver.takeChunk();
        boolean nothing = vote.equals(writtenVote)
                && truncateFrom == 0
                && writtenIndex == tail.lastIndex()
                && chunk.isEmpty()
                && takenSnapshot.isEmpty()
                && compactThrough == 0;
        if (nothing) {
            return Optional.empty();
        }
        DiskQueue.Pending pending = disk.issue(tail.lastIndex());
        pending.ownVoteTerm = ownVoteTerm;
        pending.snapshot = takenSnapshot.map(DiskWrite.TakenSnapshot::meta);
        DiskWrite write = new DiskWrite(
                pending.id,
                vote.equals(writtenVote) ? Optional.empty() : Optional.of(vote),
                truncateFrom,
                tail.from(writtenIndex + 1),
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
