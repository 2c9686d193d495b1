package org.cornelcove.bench.cluster;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import org.cornelcove.model.id.EntryId;
import org.cornelcove.testkit.JavaProcess;
import org.cornelcove.testkit.LoopbackPorts;

/** One daemon as a process of its own, which keeps its ports and its data folder from start to start. */
public final class DaemonProcess {
    private static final List<String> JAVA_OPTIONS = List.of("-Xmx256m", "-XX:+UseSerialGC");

    final int number;
    final String availabilityZone;
    final String api;
    final String rpc;
    private final String caller;
    private final Path folder;
    private Process process;

    DaemonProcess(int number, String availabilityZone, LoopbackPorts ports, Path folder) {
        this.number = number;
        this.availabilityZone = availabilityZone;
        this.caller = "127.0.0.1:" + ports.free();
        this.api = "127.0.0.1:" + ports.free();
        this.rpc = "127.0.0.1:" + ports.free();
        this.folder = folder;
    }

    EntryId entry() {
        return EntryId.of("entry-" + number);
    }

    /**
     * Returns the address of the listener for callers.
     *
     * @return {@code ip:port}
     */
    public String caller() {
        return caller;
    }

    void start(boolean control, String controlMembers) throws IOException {
        process = JavaProcess.start(
                folder.resolve(entry() + ".log"),
                JAVA_OPTIONS,
                "org.cornelcove.daemon.Cornelcoved",
                List.of(
                        "--roles=" + (control ? "entry,control" : "entry"),
                        "--name=" + entry(),
                        "--availability-zone=" + availabilityZone,
                        "--caller-address=" + caller,
                        "--api-address=" + api,
                        "--rpc-address=" + rpc,
                        "--data-folder=" + folder.resolve("data-" + number),
                        "--member-id=" + number,
                        "--control-members=" + controlMembers));
    }

    boolean running() {
        return process != null && process.isAlive();
    }

    /** Ends the process at once, by SIGKILL, and waits until it is gone. */
    void kill() {
        if (process != null) {
            process.destroyForcibly().onExit().join();
        }
    }
}
