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

/** A folder in memory that forgets what was not synced, wholly or in part, and fails on demand. */
public final class MemoryFolder implements DataFolder {
    private static final int NEVER = -1;

    private record Change(long position, byte[] data) {
        /** Writes, or cuts where there is no data. */
        byte[] on(byte[] content, int length) {
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
    /** Every sync waits for it. */
    private volatile CountDownLatch syncsGoOn = new CountDownLatch(0);

    /**
     * Makes an operation fail, and all after it.
     *
     * @param operations how many succeed before
     * @param onlySyncs whether only syncs count and fail
     */
    public void failAfter(int operations, boolean onlySyncs) {
        operationsLeft = operations;
        onlySyncsFail = onlySyncs;
    }

    /**
     * Makes every sync hang.
     *
     * @param goOn lets them go on
     */
    public void hangSyncs(CountDownLatch goOn) {
        syncsGoOn = goOn;
    }

    /**
     * Loses what was not synced, as a power failure would: any part of the unsynced writes may be there or not.
     *
     * @param random chooses the part
     */
    public void crash(SplittableRandom random) {
        operationsLeft = NEVER;
        int kept = random.nextInt(unsyncedNames.size() + 1);
        unsyncedNames.subList(0, kept).forEach(change -> change.accept(durableNames));
        unsyncedNames.clear();
        names = new TreeMap<>(durableNames);
        names.values().forEach(content -> settle(content, random));
    }

    /**
     * Copies what is durable.
     *
     * @return a folder of its own
     */
    MemoryFolder copy() {
        MemoryFolder copy = new MemoryFolder();
        copy.putBack(this);
        return copy;
    }

    /**
     * Puts the durable files of another folder in the place of all that is here.
     *
     * @param other the folder
     */
    void putBack(MemoryFolder other) {
        durableNames = new TreeMap<>();
        other.durableNames.forEach((name, content) -> durableNames.put(name, Content.of(content.durable)));
        names = new TreeMap<>(durableNames);
        unsyncedNames.clear();
    }

    /**
     * Flips bits of a byte of a file.
     *
     * @param name the file
     * @param position the byte
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
            hang();
        }
        if (operationsLeft == NEVER || onlySyncsFail && !sync) {
            return;
        }
        if (operationsLeft == 0) {
            throw new IOException("injected");
        }
        operationsLeft--;
    }

    private void hang() throws IOException {
        try {
            syncsGoOn.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static void settle(Content content, SplittableRandom random) {
        for (Change change : content.unsynced) {
            if (random.nextBoolean()) {
                int length = change.data() == null ? 0 : change.data().length;
                boolean torn = length > 0 && random.nextBoolean();
                content.durable = change.on(content.durable, torn ? random.nextInt(length) : length);
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
            make(new Change(position, data));
        }

        @Override
        public void truncate(long size) throws IOException {
            make(new Change(Math.min(size, content.current.length), null));
        }

        @Override
        public void sync() throws IOException {
            operate(true);
            content.durable = content.current.clone();
            content.unsynced.clear();
        }

        @Override
        public void close() {}

        private void make(Change change) throws IOException {
            content.unsynced.add(change);
            operate(false);
            content.current = change.on(content.current, change.data() == null ? 0 : change.data().length);
        }
    }
}
