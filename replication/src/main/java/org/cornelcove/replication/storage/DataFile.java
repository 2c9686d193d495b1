package org.cornelcove.replication.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/** A file of a {@link DataFolder}. What was written lasts only once {@link #sync()} has returned. */
public interface DataFile extends AutoCloseable {
    /**
     * Returns the size in bytes.
     *
     * @return the size in bytes
     */
    long size() throws IOException;

    /**
     * Reads until the buffer is full or the file ends.
     *
     * @param buffer the bytes
     * @param position where
     */
    void read(ByteBuffer buffer, long position) throws IOException;

    /**
     * Writes the whole buffer.
     *
     * @param buffer the bytes
     * @param position where
     */
    void write(ByteBuffer buffer, long position) throws IOException;

    /**
     * Cuts the file.
     *
     * @param size the new size
     */
    void truncate(long size) throws IOException;

    /** Makes all that was written durable. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
}
