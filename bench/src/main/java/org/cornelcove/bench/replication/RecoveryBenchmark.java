package org.cornelcove.bench.replication;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;
import org.cornelcove.bench.Benchmark;
import org.cornelcove.replication.ReplicaNode;

/** Restarts all members over a log of commands, and waits until all are applied and a new one is accepted. */
public final class RecoveryBenchmark implements Benchmark {
    private static final long WANTED_MS = 3000;
    private static final int COMMANDS = 1000;
    private static final int COMMAND_BYTES = 1024;
    private static final int RESTARTS = 20;

    @Override
    public String name() {
        return "recovery";
    }

    @Override
    public String target() {
        return "restart with 1,000 commands piled up, ready within 3 s";
    }

    @Override
    public boolean run(PrintStream out) throws Exception {
        return measure(out, 1) & measure(out, 3);
    }

    private static boolean measure(PrintStream out, int size) throws Exception {
        Histogram readyMs = new Histogram(3);
        try (LocalMembers members = LocalMembers.start(size, s -> s)) {
            pileUp(members.awaitLeader());
            for (int restart = 0; restart < RESTARTS; restart++) {
                members.killAll();
                long startNs = System.nanoTime();
                members.startAll();
                ReplicaNode leader = members.awaitLeader();
                leader.readBarrier().get();
                leader.propose(new byte[COMMAND_BYTES]).get();
                readyMs.recordValue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs));
                if (members.appliedCount(leader) != COMMANDS + restart + 1) {
                    throw new IllegalStateException("commands are missing");
                }
            }
        }
        out.printf(
                "recovery: %d of members %d, %d commands: ready in p50 %d ms, max %d ms, wanted %d ms%n",
                RESTARTS, size, COMMANDS, readyMs.getValueAtPercentile(50), readyMs.getMaxValue(), WANTED_MS);
        return readyMs.getMaxValue() <= WANTED_MS;
    }

    private static void pileUp(ReplicaNode leader) {
        List<CompletableFuture<byte[]>> all = new ArrayList<>();
        for (int i = 0; i < COMMANDS; i++) {
            all.add(leader.propose(new byte[COMMAND_BYTES]));
        }
        all.forEach(CompletableFuture::join);
    }
}
