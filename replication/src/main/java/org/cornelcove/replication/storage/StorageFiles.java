package org.cornelcove.replication.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** Common file operations: checksums, and replacing a file so that a crash leaves either its old or its new content. */
final class StorageFiles {
    private static final String TEMPORARY_SUFFIX = ".tmp";

    private StorageFiles() {}

    static int checksum(ByteBuffer bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes.duplicate());
        return (int) crc.getValue();
    }

    static void replace(DataFolder folder, String name, ByteBuffer content) throws IOException {
        String temporary = name + TEMPORARY_SUFFIX;
        try (DataFile file = folder.open(temporary)) {
            file.truncate(0);
            file.write(content, 0);
            file.sync();
        }
        folder.rename(temporary, name);
        folder.sync();
    }

    static ByteBuffer readAll(DataFolder folder, String name) throws IOException {
        try (DataFile file = folder.open(name)) {
            ByteBuffer content = ByteBuffer.allocate((int) file.size());
            file.read(content, 0);
            return content.flip();
        }
    }
}
