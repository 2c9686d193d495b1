package org.cornelcove.bench.entry;

import java.io.PrintStream;
import java.util.List;
import java.util.function.LongFunction;

import org.cornelcove.bench.Benchmark;
import org.cornelcove.bench.cluster.DaemonProcess;
import org.cornelcove.bench.cluster.LocalCluster;

/**
 * What it costs to claim every request, against claiming only those that must run at most once: one in ten. The claims go
 * through three control hosts as processes, each an entry as well, which commit them with fsync on the majority. Every
 * entry has a third of the clients.
 *
 * <p>The ledger keeps each claim for an hour and holds 50,000, so each run also ends after a number of requests; all runs
 * together stay below that.
 */
public final class ClaimsBenchmark implements Benchmark {
    private static final int DAEMONS = 3;
    private static final int CLIENTS = 24;
    private static final int TARGETS = 6;
    private static final int ONE_IN = 10;
    /** 9,600 claims with all, 960 with one in ten. */
    private static final ClosedLoop.Span WARM_UP = new ClosedLoop.Span(3_000, 400);

    /** 24,000 claims. */
    private static final ClosedLoop.Span ALL = new ClosedLoop.Span(5_000, 1_000);

    /** 14,400 claims. */
    private static final ClosedLoop.Span FEW = new ClosedLoop.Span(5_000, 6_000);

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
        try (LocalCluster cluster = LocalCluster.start(DAEMONS, TARGETS)) {
            cluster.awaitBalanced();
            List<Integer> ports = cluster.daemons().stream()
                    .map(DaemonProcess::caller)
                    .map(address -> Integer.parseInt(address.substring(address.indexOf(':') + 1)))
                    .toList();
            ClosedLoop.run(ports, CLIENTS, WARM_UP, head(ONE_IN));
            ClosedLoop.run(ports, CLIENTS, WARM_UP, head(1));
            ClosedLoop.Figures all = ClosedLoop.run(ports, CLIENTS, ALL, head(1));
            ClosedLoop.Figures few = ClosedLoop.run(ports, CLIENTS, FEW, head(ONE_IN));
            out.printf(
                    "%d control hosts as processes, commits with fsync on two of them, two commands a claimed request%n",
                    DAEMONS);
            out.printf("claims for all      %s%n", all);
            out.printf("claims for 1 in %d  %s%n", ONE_IN, few);
            boolean holds = few.perSecond() > all.perSecond() && all.failed() + few.failed() == 0;
            out.printf(
                    "ratio               %.2f: %s%n",
                    few.perSecond() / all.perSecond(), holds ? "holds" : "falls short");
            return holds;
        }
    }

    private static LongFunction<String> head(int oneIn) {
        return number -> "GET /booking HTTP/1.1\r\nHost: bench\r\n"
                + (number % oneIn == 0
                        ? "Cornelcove-Class: once\r\nCornelcove-Key: k" + System.nanoTime() + "-" + number + "\r\n"
                        : "")
                + "\r\n";
    }
}
