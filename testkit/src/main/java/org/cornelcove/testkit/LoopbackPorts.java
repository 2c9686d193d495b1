package org.cornelcove.testkit;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.SplittableRandom;

/**
 * Chooses free loopback ports for processes that are started later. They lie below the ephemeral port range, so that no
 * outgoing connection takes one in the meantime.
 */
public final class LoopbackPorts {
    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 10_000;

    private final SplittableRandom random =
            new SplittableRandom(ProcessHandle.current().pid());

    /**
     * Chooses a port.
     *
     * @return a port from 20000 to 29999 that was free when it was probed
     */
    public int free() {
        while (true) {
            int port = FIRST_PORT + random.nextInt(PORT_COUNT);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return probe.getLocalPort();
            } catch (IOException e) {
                // the port is in use; another one is tried
            }
        }
    }
}
