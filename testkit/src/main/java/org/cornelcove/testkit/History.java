package org.cornelcove.testkit;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.cornelcove.wire.Json;

/**
 * Keeps what a stand-in saw, for the checkers that read histories: in memory, or in a file with one JSON object a
 * line.
 */
public final class History implements AutoCloseable {
    private final List<Object> kept = new CopyOnWriteArrayList<>();
    private final Consumer<Object> sink;
    private final Runnable onClose;

    private History(Optional<PrintStream> out, boolean keeping) {
        Consumer<Object> none = event -> {};
        Consumer<Object> keep = keeping ? kept::add : none;
        this.sink = keep.andThen(out.map(History::printer).orElse(none));
        this.onClose = () -> out.ifPresent(PrintStream::close);
    }

    /**
     * Returns a history that is written to a file, or nowhere.
     *
     * @param file the file, added to where it exists
     * @return the history
     */
    public static History open(Optional<Path> file) {
        return new History(file.map(History::append), false);
    }

    /**
     * Returns a history that is kept in memory.
     *
     * @return the history
     */
    public static History inMemory() {
        return new History(Optional.empty(), true);
    }

    /**
     * Reads a file that a stand-in wrote; a line that is not whole, because its writer was killed, is left out.
     *
     * @param file the file
     * @param type the type of its events
     * @param <T> the type of its events
     * @return the events
     * @throws IOException when the file can't be read
     */
    public static <T> List<T> read(Path file, Class<T> type) throws IOException {
        return Files.readAllLines(file).stream()
                .flatMap(line ->
                        Json.decode(line.getBytes(StandardCharsets.UTF_8), type).toJavaStream())
                .toList();
    }

    private static PrintStream append(Path file) {
        try {
            return new PrintStream(
                    Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Consumer<Object> printer(PrintStream stream) {
        return event -> stream.println(new String(Json.encode(event), StandardCharsets.UTF_8));
    }

    /**
     * Adds an event.
     *
     * @param event a record
     */
    public synchronized void write(Object event) {
        sink.accept(event);
    }

    /**
     * Returns the events kept in memory.
     *
     * @param type which of them
     * @param <T> which of them
     * @return the events in the order in which they were written
     */
    public <T> List<T> events(Class<T> type) {
        return kept.stream().filter(type::isInstance).map(type::cast).toList();
    }

    @Override
    public void close() {
        onClose.run();
    }
}
