package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A network link to one address. Each direction can be cut. As on a partitioned network, bytes and ends of connections
 * that a cut holds up arrive after it, unless the sender resets the connection.
 */
final class Link {
    private static final int CONNECT_MS = 1000;

    private final ServerSocket server;
    private final InetSocketAddress target;
    private boolean outCut;
    private boolean backCut;
    /** The connections that were opened before this count of heals are still held up. */
    private int heldBefore;

    private int heals;

    Link(InetSocketAddress target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        thread(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Cuts or joins the directions: towards the target, and back from it. */
    synchronized void cut(boolean out, boolean back) {
        outCut = out;
        backCut = back;
        notifyAll();
    }

    /**
     * Ends a cut for new connections. What it held up on older ones waits for {@link #deliver}, as TCP repeats it at
     * growing intervals.
     */
    synchronized void heal() {
        heals++;
        heldBefore = heals;
        cut(false, false);
    }

    /** Delivers what the cut held up. */
    synchronized void deliver() {
        heldBefore = 0;
        notifyAll();
    }

    private synchronized int healsSoFar() {
        return heals;
    }

    private synchronized void await(boolean out, int openedAfterHeals) {
        while ((out ? outCut : backCut) || openedAfterHeals < heldBefore) {
            try {
                wait();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static void thread(Runnable task) {
        Thread thread = new Thread(task, "link");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket near = server.accept();
                thread(() -> open(near));
            }
        } catch (IOException e) {
            Record.line("link closed: " + e);
        }
    }

    private void open(Socket near) {
        // The opening packets of a connection need both directions.
        await(true, Integer.MAX_VALUE);
        await(false, Integer.MAX_VALUE);
        Socket far = new Socket();
        try {
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            far.connect(target, CONNECT_MS);
        } catch (IOException e) {
            reset(near);
            return;
        }
        int opened = healsSoFar();
        thread(() -> copy(near, far, true, opened));
        thread(() -> copy(far, near, false, opened));
    }

    private void copy(Socket from, Socket to, boolean out, int opened) {
        byte[] buffer = new byte[64 << 10];
        try {
            InputStream in = from.getInputStream();
            OutputStream sink = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                await(out, opened);
                sink.write(buffer, 0, count);
                sink.flush();
                count = in.read(buffer);
            }
            await(out, opened);
            to.shutdownOutput();
        } catch (IOException e) {
            reset(to);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
