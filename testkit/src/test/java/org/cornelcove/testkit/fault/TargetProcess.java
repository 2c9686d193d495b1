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

/** A target in a process of its own, so that it can be frozen and killed. */
final class TargetProcess implements AutoCloseable {
    private final String name;
    private final Path historyFile;
    private final Process process;
    private final History history;
    private TargetEvent killed;

    private TargetProcess(String name, Path historyFile, Process process, History history) {
        this.name = name;
        this.historyFile = historyFile;
        this.process = process;
        this.history = history;
    }

    static TargetProcess start(String name, String availabilityZone, Path folder, List<String> apis, History history)
            throws IOException {
        Path historyFile = folder.resolve(name + ".history");
        Process process = Node.startJava(
                folder.resolve(name + ".log"),
                "org.cornelcove.testkit.Standin",
                List.of(
                        "target",
                        "--name=" + name,
                        "--service=booking",
                        "--availability-zone=" + availabilityZone,
                        "--slots=4",
                        "--api=" + String.join(",", apis),
                        "--history=" + historyFile),
                Map.of());
        return new TargetProcess(name, historyFile, process, history);
    }

    /** Returns the number of requests that ended. */
    long ran() throws IOException {
        return Files.exists(historyFile)
                ? History.read(historyFile, TargetEvent.class).stream()
                        .filter(event -> event.what().equals("ended"))
                        .count()
                : 0;
    }

    /** Freezes the process; the kernel still accepts connections and bytes, but the target sends nothing. */
    void freeze() throws Exception {
        history.write(TargetEvent.now(name, "", "", "silent"));
        Node.signal(process, "STOP");
    }

    void thaw() throws Exception {
        history.write(TargetEvent.now(name, "", "", "heard"));
        Node.signal(process, "CONT");
    }

    /** Sends SIGTERM; the target leaves and exits once no request runs there. */
    void leave() {
        process.destroy();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
        killed = TargetEvent.now(name, "", "", "killed");
    }

    /**
     * Returns the recorded events, and a {@code killed} event for every request that ran when the process was killed.
     */
    List<TargetEvent> events() throws IOException {
        List<TargetEvent> events = new ArrayList<>(History.read(historyFile, TargetEvent.class));
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
