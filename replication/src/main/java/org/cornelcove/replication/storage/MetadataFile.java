package org.cornelcove.replication.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;

/** A file with a magic number, two numbers and a checksum, replaced as a whole: the vote and the identity. */
final class MetadataFile {
    private static final int SIZE_BYTES = 3 * Long.BYTES + Integer.BYTES;

    private final DataFolder folder;
    private final String name;
    private final long magic;

    MetadataFile(DataFolder folder, String name, long magic) {
        this.folder = folder;
        this.name = name;
        this.magic = magic;
    }

    void write(long first, long second) throws IOException {
        ByteBuffer content = ByteBuffer.allocate(SIZE_BYTES);
        content.putLong(magic).putLong(first).putLong(second);
        content.putInt(StorageFiles.checksum(content.duplicate().flip()));
        StorageFiles.replace(folder, name, content.flip());
    }

    long[] read() throws IOException {
        ByteBuffer content = StorageFiles.readAll(folder, name);
        if (content.remaining() != SIZE_BYTES) {
            throw damaged("wrong size");
        }
        int checksum = StorageFiles.checksum(content.duplicate().limit(SIZE_BYTES - Integer.BYTES));
        if (content.getLong() != magic) {
            throw damaged("wrong magic number");
        }
        long[] values = {content.getLong(), content.getLong()};
        if (content.getInt() != checksum) {
            throw damaged("wrong checksum");
        }
        return values;
    }

    private RuntimeException damaged(String why) {
        return Failure.of(ErrorKind.LOG_DAMAGED, name, 0, why).asException();
    }
}
