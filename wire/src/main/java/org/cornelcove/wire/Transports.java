package org.cornelcove.wire;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;

import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** Creates and closes Grizzly TCP transports with the settings that servers and clients share. */
final class Transports {
    private static final int SELECTOR_THREADS = 2;
    private static final int WRITE_QUEUE_BYTES = 64 << 20;
    private static final long CLOSE_TIMEOUT_MS = 1000;

    private Transports() {}

    static TCPNIOTransport create(String name) {
        TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance()
                .setName(name)
                .setReuseAddress(true)
                .setTcpNoDelay(true)
                .setKeepAlive(true)
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(SELECTOR_THREADS)
                .setSelectorThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                        .setPoolName(name)
                        .setCorePoolSize(SELECTOR_THREADS)
                        .setMaxPoolSize(SELECTOR_THREADS)
                        .setDaemon(true))
                .build();
        transport.getAsyncQueueIO().getWriter().setMaxPendingBytesPerConnection(WRITE_QUEUE_BYTES);
        return transport;
    }

    /**
     * Closes a transport and waits for its selector threads: a port is released only once the selector that it is
     * registered with is closed.
     */
    static void close(TCPNIOTransport transport) {
        ExecutorService selectorThreads = transport.getKernelThreadPool();
        try {
            transport.shutdownNow();
            if (selectorThreads != null) {
                selectorThreads.awaitTermination(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            }
        } catch (IOException e) {
            System.getLogger(Transports.class.getName())
                    .log(System.Logger.Level.DEBUG, "closing the transport failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
