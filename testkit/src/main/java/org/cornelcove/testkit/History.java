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
 * Records the events of a stand-in for the checks that read histories: in memory, or in a file with one JSON object per
 * line.
 */
public final class History implements AutoCloseable {
    private final List<Object> memory = new CopyOnWriteArrayList<>();
    private final Consumer<Object> sink;
    private final Runnable onClose;

    private History(Optional<PrintStream> out, boolean keepInMemory) {
        Consumer<Object> none = event -> {};
        Consumer<Object> keep = keepInMemory ? memory::add : none;
        this.sink = keep.andThen(out.map(History::printer).orElse(none));
        this.onClose = () -> out.ifPresent(PrintStream::close);
    }

    /**
     * Returns a history that appends events to a file, or discards them.
     *
     * @param file the file, created if it does not exist; empty to discard the events
     * @return the history
     */
    public static History open(Optional<Path> file) {
        return new History(file.map(History::append), false);
    }

    /**
     * Returns a history that keeps events in memory.
     *
     * @return the history
     */
    public static History inMemory() {
        return new History(Optional.empty(), true);
    }

    /**
     * Reads a file that a stand-in wrote, without the incomplete line of a writer that was killed.
     *
     * @param file the file
     * @param type the class of the events
     * @param <T> the type of the events
     * @return the events
     * @throws IOException if the file can't be read
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
     * Records an event.
     *
     * @param event a record that can be encoded as JSON
     */
    public synchronized void write(Object event) {
        sink.accept(event);
    }

    /**
     * Returns the events of one type that are kept in memory.
     *
     * @param type the class of the events
     * @param <T> the type of the events
     * @return the events in recording order; empty unless the history is in memory
     */
    public <T> List<T> events(Class<T> type) {
        return memory.stream().filter(type::isInstance).map(type::cast).toList();
    }

    @Override
    public void close() {
        onClose.run();
    }
}
