package org.cornelcove.testkit.fault;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Faults of a disk, each active while its marker file exists beside the data folder. */
enum DiskFault {
    /** Half of the bytes of each write are stored, then the write fails. */
    FULL("No space left on device"),
    /** One fsync fails and loses the bytes appended since the last one; the next fsync would succeed. */
    FSYNC_FAILS("Input/output error"),
    /** Every fsync blocks. */
    FSYNC_HANGS("");

    final String message;

    DiskFault(String message) {
        this.message = message;
    }

    private Path markerFile(Path folder) {
        return folder.resolveSibling(folder.getFileName() + "." + name());
    }

    boolean isOn(Path folder) {
        return Files.exists(markerFile(folder));
    }

    void turnOn(Path folder) throws IOException {
        Files.createFile(markerFile(folder));
    }

    /** Returns whether the fault was active. */
    boolean turnOff(Path folder) throws IOException {
        return Files.deleteIfExists(markerFile(folder));
    }
}
