package org.cornelcove.testkit.fault;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What a disk does wrong while a file beside the data folder says so. */
enum DiskFault {
    /** Half of a write gets through. */
    FULL("No space left on device"),
    /** Once only: what was written since the last fsync is lost, and the next fsync would succeed. */
    FSYNC_FAILS("Input/output error"),
    /** An fsync does not return. */
    FSYNC_HANGS("");

    final String message;

    DiskFault(String message) {
        this.message = message;
    }

    private Path sign(Path folder) {
        return folder.resolveSibling(folder.getFileName() + "." + name());
    }

    boolean isOn(Path folder) {
        return Files.exists(sign(folder));
    }

    void turnOn(Path folder) throws IOException {
        Files.createFile(sign(folder));
    }

    /** Tells whether it was on. */
    boolean turnOff(Path folder) throws IOException {
        return Files.deleteIfExists(sign(folder));
    }
}
