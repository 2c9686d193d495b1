package org.cornelcove.replication;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.cornelcove.replication.storage.DataFile;
import org.cornelcove.replication.storage.DataFolder;
import org.cornelcove.replication.storage.DiskFolder;

/** A folder on a real disk that can be full or stand still. */
final class LimitedFolder implements DataFolder {
    /** The state of one disk, which outlives the folders that are opened on it. */
    static final class Disk {
        /** Whether each write is refused. */
        volatile boolean full;
        /** Whether closing a file reports the refused writes too, as file systems with late allocation do. */
        volatile boolean failsOnClose;
        /** Each sync waits for it. */
        volatile CountDownLatch gate = new CountDownLatch(0);

        DataFolder open(Path path) throws IOException {
            return new LimitedFolder(this, DiskFolder.open(path));
        }

        private void write() throws IOException {
            if (full) {
                throw new IOException("No space left on device");
            }
        }

        private void sync() throws IOException {
            try {
                gate.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            write();
        }
    }

    private final Disk disk;
    private final DataFolder folder;

    private LimitedFolder(Disk disk, DataFolder folder) {
        this.disk = disk;
        this.folder = folder;
    }

    @Override
    public List<String> list() throws IOException {
        return folder.list();
    }

    @Override
    public DataFile open(String name) throws IOException {
        if (!folder.list().contains(name)) {
            disk.write();
        }
        return new LimitedFile(disk, folder.open(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        folder.rename(from, to);
    }

    @Override
    public void delete(String name) throws IOException {
        folder.delete(name);
    }

    @Override
    public void sync() throws IOException {
        folder.sync();
    }

    @Override
    public void close() throws IOException {
        folder.close();
    }

    private record LimitedFile(Disk disk, DataFile file) implements DataFile {
        @Override
        public long size() throws IOException {
            return file.size();
        }

        @Override
        public void read(ByteBuffer buffer, long position) throws IOException {
            file.read(buffer, position);
        }

        /** Writes a part of the data before it fails, as a disk does that becomes full. */
        @Override
        public void write(ByteBuffer buffer, long position) throws IOException {
            if (disk.full) {
                file.write(buffer.slice(buffer.position(), buffer.remaining() / 2), position);
            }
            disk.write();
            file.write(buffer, position);
        }

        @Override
        public void truncate(long size) throws IOException {
            file.truncate(size);
        }

        @Override
        public void sync() throws IOException {
            disk.sync();
            file.sync();
        }

        @Override
        public void close() throws IOException {
            file.close();
            if (disk.full && disk.failsOnClose) {
                throw new IOException("No space left on device");
            }
        }
    }
}
