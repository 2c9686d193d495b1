package org.cornelcove.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.function.UnaryOperator;

import org.cornelcove.entry.ControlLink;
import org.cornelcove.replication.storage.DataFolder;
import org.cornelcove.replication.storage.DiskFolder;

/**
 * What a daemon reaches the world by. A test starts the whole daemon with others in their place, so that the program
 * itself needs no switch for faults.
 *
 * @param folders opens the data folder
 * @param control stands between the entry and the link to the leader
 */
public record DaemonParts(FolderOpener folders, UnaryOperator<ControlLink> control) {
    /** Opens a data folder. */
    public interface FolderOpener {
        /**
         * Opens the folder and makes it where there is none.
         *
         * @param path the folder
         * @return the folder, locked
         * @throws IOException when it can't be used
         */
        DataFolder open(Path path) throws IOException;
    }

    /**
     * Returns the parts of the program: a folder on a disk, and the link as it is.
     *
     * @return the parts
     */
    public static DaemonParts standard() {
        return new DaemonParts(DiskFolder::open, UnaryOperator.identity());
    }
}
