package org.cornelcove.bench.entry;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;

import org.cornelcove.bench.Benchmark;
import org.cornelcove.entry.EntryServer;
import org.cornelcove.entry.EntrySettings;
import org.cornelcove.model.id.EntryId;

/**
 * One entry against a bare pass-through, in the same process, to the same targets, with the same clients. The two take
 * turns, so that whatever else the machine does falls on both; the medians over the rounds decide.
 */
public final class RelayBenchmark implements Benchmark {
    private static final int CLIENTS = 24;
    private static final int TARGETS = 4;
    private static final int ROUNDS = 7;
    private static final long WARM_UP_MS = 4_000;
    private static final long ROUND_MS = 2_000;
    private static final double LEAST_RATE = 0.8;
    private static final double MOST_P99 = 1.5;
    private static final LongFunction<String> HEAD =
            number -> "GET /quote?n=" + number + " HTTP/1.1\r\nHost: bench\r\nAccept: application/json\r\n\r\n";

    @Override
    public String name() {
        return "relay";
    }

    @Override
    public String target() {
        return "one entry relays at least 0.8 of a bare pass-through's requests/s, p99 at most 1.5 times its p99";
    }

    @Override
    public boolean run(PrintStream out) throws Exception {
        EchoTarget[] targets = new EchoTarget[TARGETS];
        for (int i = 0; i < TARGETS; i++) {
            targets[i] = EchoTarget.start();
        }
        int[] ports = Arrays.stream(targets).mapToInt(EchoTarget::port).toArray();
        try (PassThrough bare = PassThrough.start(ports);
                EntryServer entry = EntryServer.open(
                        EntrySettings.of(EntryId.of("entry-1"), 1, "zone-a", "127.0.0.1", 0, "127.0.0.1:1", 1),
                        new BenchControl(ports),
                        (address, request) -> new CompletableFuture<>())) {
            ClosedLoop.awaitReady(entry);
            ClosedLoop.run(bare.port(), CLIENTS, WARM_UP_MS, HEAD);
            ClosedLoop.run(entry.port(), CLIENTS, WARM_UP_MS, HEAD);
            boolean holds = compare(out, bare.port(), entry.port());
            out.printf(
                    "targets ejected %d times, requests retried %d%n",
                    entry.metrics().counter("targets.ejected").getCount(),
                    entry.metrics().counter("requests.retried").getCount());
            return holds;
        } finally {
            for (EchoTarget target : targets) {
                target.close();
            }
        }
    }

    private static boolean compare(PrintStream out, int barePort, int entryPort) throws Exception {
        ClosedLoop.Figures[] bare = new ClosedLoop.Figures[ROUNDS];
        ClosedLoop.Figures[] entry = new ClosedLoop.Figures[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            bare[i] = ClosedLoop.run(barePort, CLIENTS, ROUND_MS, HEAD);
            entry[i] = ClosedLoop.run(entryPort, CLIENTS, ROUND_MS, HEAD);
            out.printf("round %d%n  pass-through %s%n  entry        %s%n", i + 1, bare[i], entry[i]);
        }
        double bareRate = median(bare, false);
        double entryRate = median(entry, false);
        double bareP99 = median(bare, true);
        double entryP99 = median(entry, true);
        long failed = Arrays.stream(entry).mapToLong(ClosedLoop.Figures::failed).sum();
        boolean holds = entryRate >= LEAST_RATE * bareRate && entryP99 <= MOST_P99 * bareP99 && failed == 0;
        out.printf("pass-through %.0f requests/s, p99 %.0f us (medians of %d rounds)%n", bareRate, bareP99, ROUNDS);
        out.printf("entry        %.0f requests/s, p99 %.0f us%n", entryRate, entryP99);
        out.printf(
                "ratio        %.2f (at least %.1f), p99 %.2f (at most %.1f): %s%n",
                entryRate / bareRate, LEAST_RATE, entryP99 / bareP99, MOST_P99, holds ? "holds" : "falls short");
        return holds;
    }

    private static double median(ClosedLoop.Figures[] all, boolean p99) {
        double[] values = Arrays.stream(all)
                .mapToDouble(one -> p99 ? one.p99Us() : one.perSecond())
                .sorted()
                .toArray();
        return values[values.length / 2];
    }

    /** Returns the loopback address of a port. */
    static InetSocketAddress loopback(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }
}
