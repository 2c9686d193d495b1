package org.cornelcove.bench.entry;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.LongFunction;

import org.HdrHistogram.Histogram;
import org.cornelcove.entry.EntryServer;

/** Clients that each send the next request once they have the answer to the last, over one connection each. */
final class ClosedLoop {
    private static final int DIGITS = 3;
    private static final int ANSWER_TIMEOUT_MS = 10_000;
    private static final String LENGTH = "content-length:";

    private ClosedLoop() {}

    /**
     * What one run measured.
     *
     * @param perSecond answers of status 200 a second
     * @param p50Us median latency
     * @param p99Us latency
     * @param failed answers of another status
     */
    record Figures(double perSecond, double p50Us, double p99Us, long failed) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%8.0f requests/s, p50 %6.0f us, p99 %6.0f us, %d failed",
                    perSecond,
                    p50Us,
                    p99Us,
                    failed);
        }
    }

    private record Part(Histogram latencies, long failed) {}

    /**
     * How long to run.
     *
     * @param forMs the time after which no client sends another request
     * @param mostEach the number of requests after which a client ends before that
     */
    record Span(long forMs, long mostEach) {}

    /** Runs clients for a while; head makes the request of a number. */
    static Figures run(int port, int clients, long forMs, LongFunction<String> head) throws Exception {
        return run(List.of(port), clients, new Span(forMs, Long.MAX_VALUE), head);
    }

    /** Runs clients, spread over several ports, for a while; head makes the request of a number. */
    static Figures run(List<Integer> ports, int clients, Span span, LongFunction<String> head) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(clients);
        long startNs = System.nanoTime();
        long endNs = startNs + span.forMs() * 1_000_000;
        List<Callable<Part>> work = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            int port = ports.get(i % ports.size());
            long first = i * 1_000_000_000L;
            work.add(() -> client(port, endNs, first, span.mostEach(), head));
        }
        Histogram all = new Histogram(DIGITS);
        long failed = 0;
        for (Future<Part> one : threads.invokeAll(work)) {
            all.add(one.get().latencies);
            failed += one.get().failed;
        }
        threads.shutdown();
        double seconds = (System.nanoTime() - startNs) / 1e9;
        return new Figures(
                (all.getTotalCount() - failed) / seconds,
                all.getValueAtPercentile(50) / 1e3,
                all.getValueAtPercentile(99) / 1e3,
                failed);
    }

    /** Waits until an entry serves. */
    static void awaitReady(EntryServer entry) throws InterruptedException {
        while (entry.unreadyReason().isPresent()) {
            Thread.sleep(10);
        }
    }

    private static Part client(int port, long endNs, long first, long most, LongFunction<String> head)
            throws IOException {
        Histogram latencies = new Histogram(DIGITS);
        long failed = 0;
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(ANSWER_TIMEOUT_MS);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            long number = first;
            for (long now = System.nanoTime(); now < endNs && number - first < most; ) {
                out.write(head.apply(number++).getBytes(StandardCharsets.ISO_8859_1));
                failed += readAnswer(in) == 200 ? 0 : 1;
                long end = System.nanoTime();
                latencies.recordValue(end - now);
                now = end;
            }
        }
        return new Part(latencies, failed);
    }

    private static int readAnswer(InputStream in) throws IOException {
        int status = Integer.parseInt(line(in).substring(9, 12));
        int length = 0;
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            if (line.toLowerCase(Locale.ROOT).startsWith(LENGTH)) {
                length = Integer.parseInt(line.substring(LENGTH.length()).strip());
            }
        }
        in.skipNBytes(length);
        return status;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("the connection ended");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
