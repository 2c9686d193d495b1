package org.cornelcove.testkit.fault;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.cornelcove.testkit.History;
import org.cornelcove.testkit.TargetEvent;

/** A target that is a process, so that it can be frozen and lost. */
final class TargetProcess implements AutoCloseable {
    private final String name;
    private final Path written;
    private final Process process;
    private final History history;
    private TargetEvent killed;

    private TargetProcess(String name, Path written, Process process, History history) {
        this.name = name;
        this.written = written;
        this.process = process;
        this.history = history;
    }

    static TargetProcess start(String name, String availabilityZone, Path folder, List<String> apis, History history)
            throws IOException {
        Path written = folder.resolve(name + ".history");
        Process process = Node.java(
                folder.resolve(name + ".log"),
                "org.cornelcove.testkit.Standin",
                List.of(
                        "target",
                        "--name=" + name,
                        "--service=booking",
                        "--availability-zone=" + availabilityZone,
                        "--slots=4",
                        "--api=" + String.join(",", apis),
                        "--history=" + written),
                Map.of());
        return new TargetProcess(name, written, process, history);
    }

    long ran() throws IOException {
        return Files.exists(written)
                ? History.read(written, TargetEvent.class).stream()
                        .filter(event -> event.what().equals("ended"))
                        .count()
                : 0;
    }

    /** Freezes it; it takes connections and bytes, but says nothing. */
    void freeze() throws Exception {
        history.write(TargetEvent.now(name, "", "", "silent"));
        Node.signal(process, "STOP");
    }

    void thaw() throws Exception {
        history.write(TargetEvent.now(name, "", "", "heard"));
        Node.signal(process, "CONT");
    }

    /** Tells it to leave; it ends once nothing runs there. */
    void leave() {
        process.destroy();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
        killed = TargetEvent.now(name, "", "", "killed");
    }

    /** What it wrote down, and the end of all that ran there when it was killed. */
    List<TargetEvent> written() throws IOException {
        List<TargetEvent> events = new ArrayList<>(History.read(written, TargetEvent.class));
        if (killed != null) {
            Map<String, TargetEvent> open = new LinkedHashMap<>();
            for (TargetEvent event : events) {
                if (event.what().equals("started")) {
                    open.put(event.requestId(), event);
                } else {
                    open.remove(event.requestId());
                }
            }
            open.values()
                    .forEach(run ->
                            events.add(new TargetEvent(name, run.requestId(), run.key(), "killed", killed.atUs())));
        }
        return events;
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
