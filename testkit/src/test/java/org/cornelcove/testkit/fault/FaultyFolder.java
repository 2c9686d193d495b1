package org.cornelcove.testkit.fault;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;

import org.cornelcove.replication.storage.DataFile;
import org.cornelcove.replication.storage.DataFolder;
import org.cornelcove.replication.storage.DiskFolder;

/** A data folder on a disk that shows the active {@link DiskFault}s. */
final class FaultyFolder implements DataFolder {
    private static final long POLL_MS = 20;

    private final DataFolder disk;
    private final Path path;

    private FaultyFolder(DataFolder disk, Path path) {
        this.disk = disk;
        this.path = path;
    }

    static DataFolder open(Path path) throws IOException {
        return new FaultyFolder(DiskFolder.open(path), path);
    }

    @Override
    public List<String> list() throws IOException {
        return disk.list();
    }

    @Override
    public DataFile open(String name) throws IOException {
        DataFile file = disk.open(name);
        return new FaultyFile(file, file.size());
    }

    @Override
    public void rename(String from, String to) throws IOException {
        disk.rename(from, to);
    }

    @Override
    public void delete(String name) throws IOException {
        disk.delete(name);
    }

    @Override
    public void sync() throws IOException {
        blockWhileFsyncHangs();
        disk.sync();
    }

    @Override
    public void close() throws IOException {
        disk.close();
    }

    private void blockWhileFsyncHangs() {
        while (DiskFault.FSYNC_HANGS.isOn(path)) {
            Callers.pause(POLL_MS);
        }
    }

    /** A file that can lose the bytes appended since the last fsync. */
    private final class FaultyFile implements DataFile {
        private final DataFile file;
        private long syncedBytes;

        private FaultyFile(DataFile file, long syncedBytes) {
            this.file = file;
            this.syncedBytes = syncedBytes;
        }

        @Override
        public long size() throws IOException {
            return file.size();
        }

        @Override
        public void read(ByteBuffer buffer, long position) throws IOException {
            file.read(buffer, position);
        }

        @Override
        public void write(ByteBuffer buffer, long position) throws IOException {
            if (!DiskFault.FULL.isOn(path)) {
                file.write(buffer, position);
                return;
            }
            file.write(buffer.slice(buffer.position(), buffer.remaining() / 2), position);
            throw new IOException(DiskFault.FULL.message);
        }

        @Override
        public void truncate(long size) throws IOException {
            file.truncate(size);
            syncedBytes = Math.min(syncedBytes, size);
        }

        @Override
        public void sync() throws IOException {
            blockWhileFsyncHangs();
            if (DiskFault.FSYNC_FAILS.turnOff(path)) {
                file.truncate(Math.min(file.size(), syncedBytes));
                throw new IOException(DiskFault.FSYNC_FAILS.message);
            }
            file.sync();
            syncedBytes = file.size();
        }

        @Override
        public void close() throws IOException {
            file.close();
        }
    }
}
