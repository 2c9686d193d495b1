package org.cornelcove.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.function.UnaryOperator;

import org.cornelcove.entry.ControlLink;
import org.cornelcove.replication.storage.DataFolder;
import org.cornelcove.replication.storage.DiskFolder;

/**
 * The replaceable dependencies of a daemon. Tests start the whole daemon with implementations that inject faults, so
 * that the program itself needs no switch for faults.
 *
 * @param folders opens the data folder
 * @param control wraps the link from the entry to the leader
 */
public record DaemonParts(FolderOpener folders, UnaryOperator<ControlLink> control) {
    /** Opens a data folder. */
    public interface FolderOpener {
        /**
         * Opens and locks the folder, and creates it if it does not exist.
         *
         * @param path the folder
         * @return the folder, locked
         * @throws IOException if the folder cannot be used
         */
        DataFolder open(Path path) throws IOException;
    }

    /**
     * Returns the dependencies used in production: a folder on disk and the unchanged link.
     *
     * @return the dependencies
     */
    public static DaemonParts standard() {
        return new DaemonParts(DiskFolder::open, UnaryOperator.identity());
    }
}
