package org.cornelcove.bench.entry;

import java.io.PrintStream;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;

import org.cornelcove.bench.Benchmark;
import org.cornelcove.entry.EntryServer;
import org.cornelcove.entry.EntrySettings;
import org.cornelcove.model.id.EntryId;

/**
 * What it costs to claim every request, against claiming only those that must run at most once: one in ten. The leader is
 * a stand-in that takes a stated time for each command, so that the figures show what the entry makes of that time and
 * not what a quorum can commit.
 */
public final class ClaimsBenchmark implements Benchmark {
    private static final int CLIENTS = 24;
    private static final int TARGETS = 4;
    private static final int ONE_IN = 10;
    private static final long COMMAND_MS = 4;
    private static final long WARM_UP_MS = 3_000;
    private static final long RUN_MS = 5_000;

    @Override
    public String name() {
        return "claims";
    }

    @Override
    public String target() {
        return "claims for once only relay more requests/s than claims for all; both figures and p99 are shown";
    }

    @Override
    public boolean run(PrintStream out) throws Exception {
        EchoTarget[] targets = new EchoTarget[TARGETS];
        int[] ports = new int[TARGETS];
        for (int i = 0; i < TARGETS; i++) {
            targets[i] = EchoTarget.start();
            ports[i] = targets[i].port();
        }
        try (EntryServer entry = EntryServer.open(
                EntrySettings.of(EntryId.of("entry-1"), 1, "zone-a", "127.0.0.1", 0, "127.0.0.1:1", 1),
                new BenchControl(ports, COMMAND_MS),
                (address, request) -> new CompletableFuture<>())) {
            ClosedLoop.run(entry.port(), CLIENTS, WARM_UP_MS, head(ONE_IN));
            ClosedLoop.Figures all = ClosedLoop.run(entry.port(), CLIENTS, RUN_MS, head(1));
            ClosedLoop.Figures few = ClosedLoop.run(entry.port(), CLIENTS, RUN_MS, head(ONE_IN));
            out.printf("stand-in leader, %d ms a command, two commands a claimed request%n", COMMAND_MS);
            out.printf("claims for all      %s%n", all);
            out.printf("claims for 1 in %d  %s%n", ONE_IN, few);
            boolean holds = few.perSecond() > all.perSecond() && all.failed() + few.failed() == 0;
            out.printf(
                    "ratio               %.2f: %s%n",
                    few.perSecond() / all.perSecond(), holds ? "holds" : "falls short");
            return holds;
        } finally {
            for (EchoTarget target : targets) {
                target.close();
            }
        }
    }

    private static LongFunction<String> head(int oneIn) {
        return number -> "GET /quote HTTP/1.1\r\nHost: bench\r\n"
                + (number % oneIn == 0
                        ? "Cornelcove-Class: once\r\nCornelcove-Key: k" + System.nanoTime() + "-" + number + "\r\n"
                        : "")
                + "\r\n";
    }
}
