package org.cornelcove.replication.storage;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A folder on a disk, locked against use by a second process. */
public final class DiskFolder implements DataFolder {
    private static final String LOCK_NAME = "lock";

    private final Path path;
    private final FileChannel lockChannel;
    private final FileLock lock;

    private DiskFolder(Path path, FileChannel lockChannel, FileLock lock) {
        this.path = path;
        this.lockChannel = lockChannel;
        this.lock = lock;
    }

    /**
     * Opens the folder; creates it if it does not exist.
     *
     * @param path the folder
     * @return the folder, locked until it is closed
     * @throws IOException if it can't be used or is locked by another process
     */
    public static DiskFolder open(Path path) throws IOException {
        Files.createDirectories(path);
        FileChannel channel =
                FileChannel.open(path.resolve(LOCK_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = tryLock(channel);
        if (lock == null) {
            channel.close();
            throw new IOException(path + " is used by another process");
        }
        return new DiskFolder(path, channel, lock);
    }

    private static FileLock tryLock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(path)) {
            return files.map(p -> p.getFileName().toString())
                    .filter(name -> !name.equals(LOCK_NAME))
                    .sorted()
                    .toList();
        }
    }

    @Override
    public DataFile open(String name) throws IOException {
        return new ChannelFile(FileChannel.open(
                path.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(path.resolve(from), path.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(path.resolve(name));
    }

    @Override
    public void sync() throws IOException {
        try (FileChannel folder = FileChannel.open(path, StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        lock.release();
        lockChannel.close();
    }

    private record ChannelFile(FileChannel channel) implements DataFile {
        @Override
        public long size() throws IOException {
            return channel.size();
        }

        @Override
        public void read(ByteBuffer buffer, long position) throws IOException {
            long at = position;
            while (buffer.hasRemaining()) {
                int count = channel.read(buffer, at);
                if (count < 0) {
                    throw new EOFException("end of file at " + at);
                }
                at += count;
            }
        }

        @Override
        public void write(ByteBuffer buffer, long position) throws IOException {
            long at = position;
            while (buffer.hasRemaining()) {
                at += channel.write(buffer, at);
            }
        }

        @Override
        public void truncate(long size) throws IOException {
            channel.truncate(size);
        }

        @Override
        public void sync() throws IOException {
            channel.force(false);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
