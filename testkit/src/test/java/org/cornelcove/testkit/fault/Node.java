package org.cornelcove.testkit.fault;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.cornelcove.testkit.History;
import org.cornelcove.testkit.JavaProcess;

/** One daemon in a process of its own. */
final class Node implements AutoCloseable {
    private static final long STOP_TIMEOUT_S = 150;
    private static final List<String> JAVA_OPTIONS = List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    private static final long DISK_FAULT_TIMEOUT_S = 40;

    final int member;
    final String name;
    final String caller;
    final String api;
    final int rpcPort;
    final Path folder;
    private final String controlMembers;
    private final Program program;
    private final History history;
    private Process process;

    Node(int member, List<Integer> ports, Path folder, String controlMembers, Program program, History history) {
        this.member = member;
        this.name = "entry-" + member;
        this.caller = "127.0.0.1:" + ports.get(0);
        this.api = "127.0.0.1:" + ports.get(1);
        this.rpcPort = ports.get(2);
        this.folder = folder;
        this.controlMembers = controlMembers;
        this.program = program;
        this.history = history;
    }

    void start() throws IOException {
        process = startJava(
                logFile(),
                program.mainClass(),
                List.of(
                        "--name=" + name,
                        "--availability-zone=zone-" + member,
                        "--caller-address=" + caller,
                        "--api-address=" + api,
                        "--rpc-address=127.0.0.1:" + rpcPort,
                        "--data-folder=" + folder,
                        "--member-id=" + member,
                        "--control-members=" + controlMembers),
                Map.of(FaultyDaemon.MUTANT_VARIABLE, program.mutant().name()));
    }

    private Path logFile() {
        return folder.resolveSibling(name + ".log");
    }

    static Process startJava(Path logFile, String main, List<String> arguments, Map<String, String> environment)
            throws IOException {
        return JavaProcess.start(logFile, JAVA_OPTIONS, main, arguments, environment);
    }

    boolean running() {
        return process != null && process.isAlive();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    void freeze() throws Exception {
        signal(process, "STOP");
    }

    void thaw() throws Exception {
        signal(process, "CONT");
    }

    static void signal(Process process, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /**
     * Activates a disk fault until the daemon exits or the limit has passed, and records exit code and last error line.
     */
    void failDisk(DiskFault fault) throws Exception {
        int linesBefore = Files.readAllLines(logFile()).size();
        fault.turnOn(folder);
        int exitCode = process.waitFor(DISK_FAULT_TIMEOUT_S, TimeUnit.SECONDS) ? process.exitValue() : -1;
        fault.turnOff(folder);
        String lastError = Files.readAllLines(logFile()).stream()
                .skip(linesBefore)
                .filter(line -> line.startsWith("error("))
                .reduce("", (first, second) -> second);
        history.write(new Seen.DiskFailed(caller, fault.name(), exitCode, lastError));
    }

    /** Stops the daemon by SIGTERM and records the stop. */
    void stop() throws InterruptedException {
        long fromMs = System.currentTimeMillis();
        process.destroy();
        int exitCode = process.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS) ? process.exitValue() : -1;
        history.write(new Seen.Stop(caller, fromMs, System.currentTimeMillis(), exitCode));
    }

    @Override
    public void close() throws InterruptedException {
        if (process != null) {
            kill();
        }
    }
}
