package org.cornelcove.replication.storage;

import java.io.IOException;
import java.util.List;

/**
 * The files of one member. Names that were made, changed or deleted last only once {@link #sync()} has returned. The
 * only way to the disk, so that a test can take its place and fail.
 */
public interface DataFolder extends AutoCloseable {
    /**
     * Returns the names of all files, sorted.
     *
     * @return the names of all files, sorted
     */
    List<String> list() throws IOException;

    /**
     * Opens a file for reading and writing, and makes it where there is none.
     *
     * @param name the file's name
     * @return Opens a file for reading and writing, and makes it where there is none
     */
    DataFile open(String name) throws IOException;

    /**
     * Gives a file another name, in place of the file that had it.
     *
     * @param from the old name
     * @param to the new name
     */
    void rename(String from, String to) throws IOException;

    /**
     * Deletes a file if it is there.
     *
     * @param name the file's name
     */
    void delete(String name) throws IOException;

    /** Makes the names durable. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
}
