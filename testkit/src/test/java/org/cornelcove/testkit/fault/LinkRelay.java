package org.cornelcove.testkit.fault;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP relay in front of a port. While a direction is cut, bytes in that direction are held and not dropped: as with
 * an interrupted link under TCP, they arrive late once the link is healed.
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
        startDaemonThread(relay::accept);
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
                startDaemonThread(() -> connect(from));
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
            closeSockets(from, to);
            return;
        }
        startDaemonThread(() -> pump(from, to, true));
        pump(to, from, false);
    }

    private void pump(Socket from, Socket to, boolean toTarget) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            for (int read = from.getInputStream().read(buffer);
                    read >= 0;
                    read = from.getInputStream().read(buffer)) {
                awaitHealed(toTarget);
                to.getOutputStream().write(buffer, 0, read);
            }
        } catch (IOException e) {
            // one side closed the connection; the other is closed below
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        closeSockets(from, to);
    }

    private synchronized void awaitHealed(boolean toTarget) throws InterruptedException {
        while (toTarget ? toTargetCut : fromTargetCut) {
            wait();
        }
    }

    private void closeSockets(Socket... both) {
        for (Socket socket : both) {
            sockets.remove(socket);
            try {
                socket.close();
            } catch (IOException e) {
                // nothing more can be done about a socket that fails to close
            }
        }
    }

    private static void startDaemonThread(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        cut(false, false);
        closeSockets(sockets.toArray(Socket[]::new));
    }
}
