package org.cornelcove.bench.replication;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import org.HdrHistogram.Histogram;
import org.cornelcove.bench.Benchmark;
import org.cornelcove.replication.ReplicaNode;

/**
 * Kills the leader of three members under load, again and again, and measures from the kill to the first command that
 * is proposed after it and committed.
 */
public final class FailoverBenchmark implements Benchmark {
    private static final long WANTED_MS = 2000;
    private static final int MEMBERS = 3;
    private static final int CALLERS = 8;
    private static final int KILLS = 100;
    private static final int COMMAND_BYTES = 256;
    private static final long PAUSE_MS = 300;
    private static final long CALL_TIMEOUT_MS = 500;

    @Override
    public String name() {
        return "failover";
    }

    @Override
    public String target() {
        return "leader killed under load: commands accepted again within 2 s at p99";
    }

    @Override
    public boolean run(PrintStream out) throws Exception {
        Histogram outageMs = new Histogram(3);
        AtomicBoolean running = new AtomicBoolean(true);
        try (LocalMembers members = LocalMembers.start(MEMBERS, s -> s)) {
            members.awaitLeader().readBarrier().get();
            List<Thread> callers = startCallers(members, running);
            for (int kill = 0; kill < KILLS; kill++) {
                outageMs.recordValue(killLeader(members));
                Thread.sleep(PAUSE_MS);
            }
            running.set(false);
            for (Thread caller : callers) {
                caller.join();
            }
        }
        out.printf(
                "failover: %d kills: accepted again in p50 %d ms, p99 %d ms, max %d ms, wanted %d ms%n",
                KILLS,
                outageMs.getValueAtPercentile(50),
                outageMs.getValueAtPercentile(99),
                outageMs.getMaxValue(),
                WANTED_MS);
        return outageMs.getValueAtPercentile(99) <= WANTED_MS;
    }

    private static long killLeader(LocalMembers members) throws Exception {
        long killed = members.awaitLeader().status().self();
        long startNs = System.nanoTime();
        members.kill(killed);
        while (!accepted(members)) {
            Thread.sleep(1);
        }
        long outage = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
        members.start(killed);
        return outage;
    }

    private static List<Thread> startCallers(LocalMembers members, AtomicBoolean running) {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Thread caller = new Thread(() -> call(members, running), "caller-" + i);
            caller.start();
            callers.add(caller);
        }
        return callers;
    }

    private static void call(LocalMembers members, AtomicBoolean running) {
        try {
            while (running.get()) {
                if (!accepted(members)) {
                    Thread.sleep(1);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Proposes a command to each member in turn. */
    private static boolean accepted(LocalMembers members) throws InterruptedException {
        for (ReplicaNode node : members.nodes()) {
            try {
                node.propose(new byte[COMMAND_BYTES]).get(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
                return true;
            } catch (ExecutionException | TimeoutException e) {
                continue;
            }
        }
        return false;
    }
}
