package org.cornelcove.replication.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/** A file of a {@link DataFolder}. Writes are durable only after {@link #sync()} has returned. */
public interface DataFile extends AutoCloseable {
    /**
     * Returns the current size of the file.
     *
     * @return the size in bytes
     */
    long size() throws IOException;

    /**
     * Fills the buffer from the file.
     *
     * @param buffer receives the bytes
     * @param position the offset of the first byte in the file
     * @throws IOException if the file can't be read or ends before the buffer is full
     */
    void read(ByteBuffer buffer, long position) throws IOException;

    /**
     * Writes the remaining bytes of the buffer.
     *
     * @param buffer the bytes to write
     * @param position the offset of the first byte in the file
     */
    void write(ByteBuffer buffer, long position) throws IOException;

    /**
     * Truncates the file.
     *
     * @param size the new size in bytes
     */
    void truncate(long size) throws IOException;

    /** Makes all previous writes durable. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
}
