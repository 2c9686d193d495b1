package org.cornelcove.replication.storage;

import java.io.IOException;
import java.util.List;

/**
 * The data folder of one member. The creation, renaming and deletion of files is durable only after {@link #sync()} has
 * returned. All disk access goes through this interface, so that tests can inject faults.
 */
public interface DataFolder extends AutoCloseable {
    /**
     * Lists the files of the folder.
     *
     * @return the names of all files, in ascending order
     */
    List<String> list() throws IOException;

    /**
     * Opens a file for reading and writing; creates it if it does not exist.
     *
     * @param name the file's name
     * @return the open file, to be closed by the caller
     */
    DataFile open(String name) throws IOException;

    /**
     * Renames a file and replaces any existing file of the new name.
     *
     * @param from the old name
     * @param to the new name
     */
    void rename(String from, String to) throws IOException;

    /**
     * Deletes a file if it exists.
     *
     * @param name the file's name
     */
    void delete(String name) throws IOException;

    /** Makes file creations, renames and deletions durable. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
}
