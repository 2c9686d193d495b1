package org.cornelcove.replication.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.replication.core.Membership;
import org.cornelcove.replication.core.MessageCodec;
import org.cornelcove.replication.core.SnapshotMeta;

/**
 * The newest snapshot: a magic number, a checksum of everything that follows, index, term, membership and state. The
 * whole file is sent to other members as it is. A received file is assembled under another name and replaces the
 * current one only if its checksum is correct.
 */
final class SnapshotFile {
    private static final String NAME = "snapshot";
    private static final String PART_NAME = "snapshot.part";
    private static final long MAGIC = 0x636f726e656c3032L;
    private static final int PREFIX_BYTES = Long.BYTES + Integer.BYTES;
    private static final int FIXED_BYTES = PREFIX_BYTES + 2 * Long.BYTES + Integer.BYTES;

    private record Content(SnapshotMeta meta, byte[] state) {}

    private final DataFolder folder;

    SnapshotFile(DataFolder folder) {
        this.folder = folder;
    }

    boolean exists() throws IOException {
        return folder.list().contains(NAME);
    }

    SnapshotMeta meta() throws IOException {
        return exists() ? load().meta() : SnapshotMeta.NONE;
    }

    byte[] state() throws IOException {
        return load().state();
    }

    void save(SnapshotMeta meta, byte[] state) throws IOException {
        byte[] membership = MessageCodec.encodeMembership(meta.membership());
        ByteBuffer content = ByteBuffer.allocate(FIXED_BYTES + membership.length + state.length);
        content.putLong(MAGIC).putInt(0).putLong(meta.index()).putLong(meta.term());
        content.putInt(membership.length).put(membership).put(state);
        content.putInt(Long.BYTES, StorageFiles.checksum(content.slice(PREFIX_BYTES, content.limit() - PREFIX_BYTES)));
        StorageFiles.replace(folder, NAME, content.flip());
    }

    /** Reads a chunk of the file, which is shorter than requested at the end of the file. */
    byte[] read(long offset, int lengthBytes) throws IOException {
        try (DataFile file = folder.open(NAME)) {
            int length = (int) Math.max(0, Math.min(lengthBytes, file.size() - offset));
            ByteBuffer chunk = ByteBuffer.allocate(length);
            file.read(chunk, offset);
            return chunk.array();
        }
    }

    long sizeBytes() throws IOException {
        try (DataFile file = folder.open(NAME)) {
            return file.size();
        }
    }

    void receive(long offset, byte[] data) throws IOException {
        try (DataFile part = folder.open(PART_NAME)) {
            part.truncate(offset);
            part.write(ByteBuffer.wrap(data), offset);
        }
    }

    /** Replaces the current snapshot with the received file if that is valid; otherwise deletes the received file. */
    Optional<SnapshotMeta> install() throws IOException {
        Optional<Content> content = parse(StorageFiles.readAll(folder, PART_NAME));
        if (content.isEmpty()) {
            folder.delete(PART_NAME);
            return Optional.empty();
        }
        try (DataFile part = folder.open(PART_NAME)) {
            part.sync();
        }
        folder.rename(PART_NAME, NAME);
        folder.sync();
        return Optional.of(content.get().meta());
    }

    void deletePart() throws IOException {
        folder.delete(PART_NAME);
    }

    private Content load() throws IOException {
        return parse(StorageFiles.readAll(folder, NAME))
                .orElseThrow(() -> Failure.of(ErrorKind.SNAPSHOT_DAMAGED, NAME, "wrong checksum")
                        .asException());
    }

    private static Optional<Content> parse(ByteBuffer content) {
        if (content.remaining() < FIXED_BYTES || content.getLong(0) != MAGIC) {
            return Optional.empty();
        }
        ByteBuffer checked = content.slice(PREFIX_BYTES, content.remaining() - PREFIX_BYTES);
        if (content.getInt(Long.BYTES) != StorageFiles.checksum(checked)) {
            return Optional.empty();
        }
        long index = checked.getLong();
        long term = checked.getLong();
        byte[] encoded = new byte[checked.getInt()];
        checked.get(encoded);
        Membership membership = MessageCodec.decodeMembership(encoded);
        byte[] state = new byte[checked.remaining()];
        checked.get(state);
        return Optional.of(new Content(new SnapshotMeta(index, term, membership), state));
    }
}
