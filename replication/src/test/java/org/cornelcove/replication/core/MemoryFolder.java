package org.cornelcove.replication.core;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;

import org.cornelcove.replication.storage.DataFile;
import org.cornelcove.replication.storage.DataFolder;

/** A folder in memory that loses any part of its unsynced changes in a crash, and fails on demand. */
public final class MemoryFolder implements DataFolder {
    private static final int NEVER = -1;

    private record Change(long position, byte[] data) {
        /** Applies the first {@code length} bytes of the write, or the truncation if {@code data} is null. */
        byte[] applyTo(byte[] content, int length) {
            if (data == null) {
                return Arrays.copyOf(content, (int) position);
            }
            byte[] next = Arrays.copyOf(content, Math.max(content.length, (int) position + length));
            System.arraycopy(data, 0, next, (int) position, length);
            return next;
        }
    }

    private static final class Content {
        byte[] durable = {};
        byte[] current = {};
        final List<Change> unsynced = new ArrayList<>();

        static Content of(byte[] bytes) {
            Content content = new Content();
            content.durable = bytes.clone();
            content.current = bytes.clone();
            return content;
        }
    }

    private TreeMap<String, Content> names = new TreeMap<>();
    private TreeMap<String, Content> durableNames = new TreeMap<>();
    private final List<Consumer<TreeMap<String, Content>>> unsyncedNames = new ArrayList<>();
    private int operationsLeft = NEVER;
    private boolean onlySyncsFail;
    /** Blocks every sync until it is at zero. */
    private volatile CountDownLatch syncGate = new CountDownLatch(0);

    /**
     * Makes all operations fail after a number of successful ones, until the next {@link #crash} or {@link #endProcess}.
     *
     * @param operations the number of operations that succeed before
     * @param onlySyncs whether only syncs count and fail
     */
    public void failAfter(int operations, boolean onlySyncs) {
        operationsLeft = operations;
        onlySyncsFail = onlySyncs;
    }

    /**
     * Blocks every sync.
     *
     * @param gate releases them when it reaches zero
     */
    public void hangSyncs(CountDownLatch gate) {
        syncGate = gate;
    }

    /**
     * Simulates a power failure: any part of the unsynced changes may be lost.
     *
     * @param random chooses the part that is kept
     */
    public void crash(SplittableRandom random) {
        operationsLeft = NEVER;
        int kept = random.nextInt(unsyncedNames.size() + 1);
        unsyncedNames.subList(0, kept).forEach(change -> change.accept(durableNames));
        unsyncedNames.clear();
        names = new TreeMap<>(durableNames);
        names.values().forEach(content -> keepPartOfUnsynced(content, random));
    }

    /** Simulates the end of a process: the unsynced changes stay visible, and a later power failure may lose them. */
    public void endProcess() {
        operationsLeft = NEVER;
    }

    /**
     * Copies the durable files.
     *
     * @return an independent folder
     */
    public MemoryFolder copy() {
        MemoryFolder copy = new MemoryFolder();
        copy.restoreFrom(this);
        return copy;
    }

    /**
     * Replaces all files by the durable files of another folder.
     *
     * @param other the folder to copy from
     */
    void restoreFrom(MemoryFolder other) {
        durableNames = new TreeMap<>();
        other.durableNames.forEach((name, content) -> durableNames.put(name, Content.of(content.durable)));
        names = new TreeMap<>(durableNames);
        unsyncedNames.clear();
    }

    /**
     * Flips bits in one durable byte of a file.
     *
     * @param name the file
     * @param position the position of the byte
     */
    public void damage(String name, int position) {
        Content content = names.get(name);
        content.current[position] ^= 0x55;
        content.durable = content.current.clone();
    }

    @Override
    public List<String> list() {
        return List.copyOf(names.keySet());
    }

    @Override
    public DataFile open(String name) throws IOException {
        if (!names.containsKey(name)) {
            operate(false);
            Content made = new Content();
            change(n -> n.put(name, made));
        }
        return new MemoryFile(names.get(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        operate(false);
        change(n -> {
            if (n.containsKey(from)) {
                n.put(to, n.remove(from));
            }
        });
    }

    @Override
    public void delete(String name) throws IOException {
        operate(false);
        change(n -> n.remove(name));
    }

    @Override
    public void sync() throws IOException {
        operate(true);
        durableNames = new TreeMap<>(names);
        unsyncedNames.clear();
    }

    @Override
    public void close() {}

    private void change(Consumer<TreeMap<String, Content>> change) {
        change.accept(names);
        unsyncedNames.add(change);
    }

    private void operate(boolean sync) throws IOException {
        if (sync) {
            awaitSyncGate();
        }
        if (operationsLeft == NEVER || onlySyncsFail && !sync) {
            return;
        }
        if (operationsLeft == 0) {
            throw new IOException("injected");
        }
        operationsLeft--;
    }

    private void awaitSyncGate() throws IOException {
        try {
            syncGate.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static void keepPartOfUnsynced(Content content, SplittableRandom random) {
        for (Change change : content.unsynced) {
            if (random.nextBoolean()) {
                int length = change.data() == null ? 0 : change.data().length;
                boolean torn = length > 0 && random.nextBoolean();
                content.durable = change.applyTo(content.durable, torn ? random.nextInt(length) : length);
            }
        }
        content.current = content.durable.clone();
        content.unsynced.clear();
    }

    private final class MemoryFile implements DataFile {
        private final Content content;

        private MemoryFile(Content content) {
            this.content = content;
        }

        @Override
        public long size() {
            return content.current.length;
        }

        @Override
        public void read(ByteBuffer buffer, long position) throws IOException {
            if (position + buffer.remaining() > content.current.length) {
                throw new EOFException();
            }
            buffer.put(content.current, (int) position, buffer.remaining());
        }

        @Override
        public void write(ByteBuffer buffer, long position) throws IOException {
            byte[] data = new byte[buffer.remaining()];
            buffer.get(data);
            applyUnsynced(new Change(position, data));
        }

        @Override
        public void truncate(long size) throws IOException {
            applyUnsynced(new Change(Math.min(size, content.current.length), null));
        }

        @Override
        public void sync() throws IOException {
            operate(true);
            content.durable = content.current.clone();
            content.unsynced.clear();
        }

        @Override
        public void close() {}

        private void applyUnsynced(Change change) throws IOException {
            content.unsynced.add(change);
            operate(false);
            content.current = change.applyTo(content.current, change.data() == null ? 0 : change.data().length);
        }
    }
}
