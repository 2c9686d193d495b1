package org.cornelcove.testkit.fault;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A relay in front of a port. While a direction is cut, nothing passes that way and nothing is lost: as with a cut
 * link under TCP, what was sent arrives late once the link is healed.
 */
final class LinkRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;

    private final ServerSocket listener;
    private final int targetPort;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private boolean toTargetCut;
    private boolean fromTargetCut;

    private LinkRelay(ServerSocket listener, int targetPort) {
        this.listener = listener;
        this.targetPort = targetPort;
    }

    static LinkRelay open(int port, int targetPort) throws IOException {
        LinkRelay relay = new LinkRelay(new ServerSocket(port, 50, InetAddress.getLoopbackAddress()), targetPort);
        daemon(relay::accept);
        return relay;
    }

    int port() {
        return listener.getLocalPort();
    }

    synchronized void cut(boolean toTarget, boolean fromTarget) {
        toTargetCut = toTarget;
        fromTargetCut = fromTarget;
        notifyAll();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket from = listener.accept();
                sockets.add(from);
                daemon(() -> connect(from));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket from) {
        Socket to = new Socket();
        sockets.add(to);
        try {
            to.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort));
            to.setTcpNoDelay(true);
            from.setTcpNoDelay(true);
        } catch (IOException e) {
            end(from, to);
            return;
        }
        daemon(() -> pump(from, to, true));
        pump(to, from, false);
    }

    private void pump(Socket from, Socket to, boolean toTarget) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            for (int read = from.getInputStream().read(buffer);
                    read >= 0;
                    read = from.getInputStream().read(buffer)) {
                awaitLink(toTarget);
                to.getOutputStream().write(buffer, 0, read);
            }
        } catch (IOException e) {
            // one side is gone, and the other is closed with it
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        end(from, to);
    }

    private synchronized void awaitLink(boolean toTarget) throws InterruptedException {
        while (toTarget ? toTargetCut : fromTargetCut) {
            wait();
        }
    }

    private void end(Socket... both) {
        for (Socket socket : both) {
            sockets.remove(socket);
            try {
                socket.close();
            } catch (IOException e) {
                // it is closed as far as it can be
            }
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        cut(false, false);
        end(sockets.toArray(Socket[]::new));
    }
}
