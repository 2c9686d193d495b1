package org.cornelcove.testkit;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

import org.cornelcove.wire.Json;

/** Writes what a stand-in saw, one JSON object a line, for the checkers that read histories. */
final class History implements AutoCloseable {
    private final Optional<PrintStream> out;

    private History(Optional<PrintStream> out) {
        this.out = out;
    }

    static History open(Optional<Path> file) {
        return new History(file.map(History::append));
    }

    private static PrintStream append(Path file) {
        try {
            return new PrintStream(
                    Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void write(Object event) {
        out.ifPresent(
                stream -> stream.println(new String(Json.encode(event), java.nio.charset.StandardCharsets.UTF_8)));
    }

    @Override
    public void close() {
        out.ifPresent(PrintStream::close);
    }
}
