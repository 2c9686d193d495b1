package org.cornelcove.replication.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.replication.core.ChunkRead;
import org.cornelcove.replication.core.DiskWrite;
import org.cornelcove.replication.core.Envelope;
import org.cornelcove.replication.core.LogEntry;
import org.cornelcove.replication.core.MemberRecord;
import org.cornelcove.replication.core.Message;
import org.cornelcove.replication.core.Outgoing;
import org.cornelcove.replication.core.SnapshotMeta;
import org.cornelcove.replication.core.StoredState;
import org.cornelcove.replication.core.Vote;

/**
 * The persistent state of a member: its identity, vote, log and snapshot.
 *
 * <p>Initializing a new folder creates the identity file last, to mark the initialization as complete. The
 * incarnation in it is chosen once, so that a folder that was lost and created again is distinguishable from the first.
 * Writes are performed in order; {@link #sync()} makes the entries of all previous writes durable by one fsync.
 * Everything else is durable when {@link #write} returns, except the chunks of an incomplete snapshot, which a restart
 * discards.
 *
 * <p>Not thread-safe.
 */
public final class MemberStorage implements AutoCloseable {
    private static final String IDENTITY_NAME = "identity";
    private static final String VOTE_NAME = "vote";
    private static final long IDENTITY_MAGIC = 0x636f726e656c3033L;
    private static final long VOTE_MAGIC = 0x636f726e656c3034L;

    private final MetadataFile vote;
    private final SnapshotFile snapshotFile;
    private final SegmentedLog log;
    private final StoredState stored;
    private SnapshotMeta snapshot;

    private MemberStorage(MetadataFile vote, SnapshotFile snapshotFile, SegmentedLog log, StoredState stored) {
        this.vote = vote;
        this.snapshotFile = snapshotFile;
        this.log = log;
        this.stored = stored;
        this.snapshot = stored.snapshot();
    }

    /**
     * Opens the folder and initializes it if it is new.
     *
     * @param folder the folder
     * @param selfId the id of the member to which the folder must belong
     * @param segmentBytes the size at which a new segment of the log is started
     * @param newIncarnation supplies the incarnation of a new folder
     * @return the storage; fails with kind {@code LOG_DAMAGED}, {@code SNAPSHOT_DAMAGED} or {@code SETTING_INVALID}
     * @throws IOException if the folder can't be read or written
     */
    public static MemberStorage open(DataFolder folder, long selfId, long segmentBytes, LongSupplier newIncarnation)
            throws IOException {
        MetadataFile identity = new MetadataFile(folder, IDENTITY_NAME, IDENTITY_MAGIC);
        if (!folder.list().contains(IDENTITY_NAME)) {
            initialize(folder, segmentBytes);
            identity.write(selfId, chooseIncarnation(newIncarnation));
        }
        long[] owner = identity.read();
        if (owner[0] != selfId) {
            throw Failure.of(
                            ErrorKind.SETTING_INVALID,
                            "data-folder",
                            IDENTITY_NAME,
                            "it belongs to member " + owner[0],
                            "the folder of member " + selfId)
                    .asException();
        }
        return load(folder, segmentBytes, owner[1]);
    }

    private static long chooseIncarnation(LongSupplier newIncarnation) {
        long chosen = newIncarnation.getAsLong();
        return chosen == MemberRecord.UNBOUND ? 1 : chosen;
    }

    private static void initialize(DataFolder folder, long segmentBytes) throws IOException {
        for (String name : folder.list()) {
            folder.delete(name);
        }
        SegmentedLog.create(folder, segmentBytes, 1).close();
        new MetadataFile(folder, VOTE_NAME, VOTE_MAGIC).write(0, 0);
    }

    private static MemberStorage load(DataFolder folder, long segmentBytes, long incarnation) throws IOException {
        if (!folder.list().contains(VOTE_NAME)) {
            throw Failure.of(ErrorKind.LOG_DAMAGED, VOTE_NAME, 0, "the file is missing")
                    .asException();
        }
        MetadataFile vote = new MetadataFile(folder, VOTE_NAME, VOTE_MAGIC);
        long[] storedVote = vote.read();
        SnapshotFile file = new SnapshotFile(folder);
        file.deletePart();
        SnapshotMeta meta = file.meta();
        List<LogEntry> entries = new ArrayList<>();
        SegmentedLog log = SegmentedLog.open(folder, segmentBytes, meta.index(), entries);
        if (log.firstIndex() > meta.index() + 1) {
            throw Failure.of(
                            ErrorKind.LOG_DAMAGED,
                            "segment " + log.firstIndex(),
                            0,
                            "entries after the snapshot at " + meta.index() + " are missing")
                    .asException();
        }
        finishInterruptedInstall(log, meta, entries);
        // The names of the files read here may be from a process that ended before it synced the folder.
        folder.sync();
        return new MemberStorage(
                vote, file, log, new StoredState(incarnation, new Vote(storedVote[0], storedVote[1]), meta, entries));
    }

    /** Resets the log if a crash occurred after a received snapshot was put in place and before the log was reset. */
    private static void finishInterruptedInstall(SegmentedLog log, SnapshotMeta meta, List<LogEntry> entries)
            throws IOException {
        boolean coversSnapshot = log.lastIndex() >= meta.index();
        boolean termMatches = entries.stream().noneMatch(e -> e.index() == meta.index() && e.term() != meta.term());
        if (!coversSnapshot || !termMatches) {
            log.reset(meta.index() + 1);
            entries.clear();
        }
    }

    /**
     * Returns the state that was stored in the folder when it was opened.
     *
     * @return the state from which the member starts
     */
    public StoredState stored() {
        return stored;
    }

    /**
     * Performs a write. Its entries are durable after the next {@link #sync()}.
     *
     * @param write the changes to store
     * @return empty unless the write contains the last chunk of a snapshot; else the metadata of the installed
     *     snapshot, or an empty value if the received snapshot was damaged
     * @throws IOException if the disk fails; the storage must not be used afterwards
     */
    public Optional<Optional<SnapshotMeta>> write(DiskWrite write) throws IOException {
        if (write.vote().isPresent()) {
            vote.write(write.vote().get().term(), write.vote().get().votedFor());
        }
        if (write.truncateFrom() > 0) {
            log.truncateFrom(write.truncateFrom());
        }
        log.append(write.entries());
        Optional<Optional<SnapshotMeta>> installed = Optional.empty();
        if (write.chunk().isPresent()) {
            installed = receive(write.chunk().get());
        }
        if (write.snapshot().isPresent() && write.snapshot().get().meta().index() > snapshot.index()) {
            snapshot = write.snapshot().get().meta();
            snapshotFile.save(snapshot, write.snapshot().get().state());
        }
        if (write.compactThrough() > 0) {
            log.compactThrough(write.compactThrough());
        }
        return installed;
    }

    private Optional<Optional<SnapshotMeta>> receive(Message.SnapshotChunk chunk) throws IOException {
        snapshotFile.receive(chunk.offset(), chunk.data());
        if (!chunk.last()) {
            return Optional.empty();
        }
        log.sync();
        Optional<SnapshotMeta> meta = snapshotFile.install();
        if (meta.isPresent()) {
            snapshot = meta.get();
            log.reset(snapshot.index() + 1);
        }
        return Optional.of(meta);
    }

    /**
     * Makes all written entries durable.
     *
     * @throws IOException if the disk fails; the storage must not be used afterwards
     */
    public void sync() throws IOException {
        log.sync();
    }

    /**
     * Reads a chunk of the newest snapshot for sending.
     *
     * @param read the requested chunk
     * @return the message to send; empty if the requested snapshot is no longer the newest one
     * @throws IOException if the disk fails
     */
    public Optional<Outgoing> readChunk(ChunkRead read) throws IOException {
        Envelope empty = read.envelope();
        Message.SnapshotChunk chunk = (Message.SnapshotChunk) empty.body();
        if (chunk.snapshotIndex() != snapshot.index() || chunk.snapshotTerm() != snapshot.term()) {
            return Optional.empty();
        }
        byte[] data = snapshotFile.read(chunk.offset(), read.lengthBytes());
        boolean last = chunk.offset() + data.length >= snapshotFile.sizeBytes();
        Message.SnapshotChunk filled = new Message.SnapshotChunk(
                chunk.snapshotIndex(), chunk.snapshotTerm(), chunk.offset(), last, chunk.round(), chunk.sentMs(), data);
        return Optional.of(new Outgoing(
                read.address(),
                new Envelope(
                        empty.from(),
                        empty.fromIncarnation(),
                        empty.fromAddress(),
                        empty.to(),
                        empty.toIncarnation(),
                        empty.term(),
                        filled)));
    }

    /**
     * Reads the state of the newest snapshot.
     *
     * @return the state, as returned by the state machine
     * @throws IOException if the disk fails
     */
    public byte[] snapshotState() throws IOException {
        return snapshotFile.state();
    }

    @Override
    public void close() throws IOException {
        log.close();
    }
}
