package org.cornelcove.testkit;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.SplittableRandom;

/**
 * Chooses free loopback ports for processes that are yet to be started. They lie below the ports that the system gives
 * to connections, so that no connection takes one in between.
 */
public final class LoopbackPorts {
    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 10_000;

    private final SplittableRandom random =
            new SplittableRandom(ProcessHandle.current().pid());

    /**
     * Chooses a port.
     *
     * @return a port that was free a moment ago
     */
    public int free() {
        while (true) {
            int port = FIRST_PORT + random.nextInt(PORTS);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return probe.getLocalPort();
            } catch (IOException e) {
                // taken; the next one is tried
            }
        }
    }
}
