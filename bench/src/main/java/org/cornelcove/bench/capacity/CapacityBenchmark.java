package org.cornelcove.bench.capacity;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;

import org.cornelcove.bench.Benchmark;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.message.EntryLease;
import org.cornelcove.model.message.WorkerHeartbeat;
import org.cornelcove.model.message.WorkerOrders;
import org.cornelcove.wire.Codec;

/**
 * Measures what the leader and its messages cost at a quarter, a half and the whole of the size designed for. Processor
 * time is that of the measuring thread, encoding and decoding of the messages included.
 */
public final class CapacityBenchmark implements Benchmark {
    private static final int[] QUARTERS = {1, 2, 4};
    private static final int WARM_ROUNDS = 3;
    private static final int ROUNDS = 5;
    private static final double WORKER_BEATS_PER_SECOND = 2;
    private static final double TICKS_PER_SECOND = 20;
    private static final double LIMIT_HEAP_BYTES = 32 << 20;
    private static final double LIMIT_CORE = 0.017;
    private static final double LIMIT_BYTES_PER_SECOND = 16 << 10;
    private static final double NS_PER_SECOND = 1e9;

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

    /**
     * What one size cost.
     *
     * @param size the size
     * @param snapshotBytes the whole state as a snapshot
     * @param heapBytes the heap that the leader's host holds for it
     * @param workerCore share of a core for the workers' heartbeats
     * @param entryCore share of a core for the entries' heartbeats
     * @param tickCore share of a core for the regular work
     * @param workerBytesPerSecond both ways, for one worker
     * @param entryBytesPerSecond both ways, for one entry
     */
    private record Cost(
            FleetSize size,
            long snapshotBytes,
            long heapBytes,
            double workerCore,
            double entryCore,
            double tickCore,
            double workerBytesPerSecond,
            double entryBytesPerSecond) {
        double core() {
            return workerCore + entryCore + tickCore;
        }
    }

    @Override
    public String name() {
        return "capacity";
    }

    @Override
    public String target() {
        return "for each node: 1.7% of a core, 32 MB, 16 KB/s, the leader's cost shared by the workers";
    }

    @Override
    public boolean run(PrintStream out) {
        List<Cost> costs = new ArrayList<>();
        for (int quarters : QUARTERS) {
            Cost cost = measure(FleetSize.quarters(quarters));
            costs.add(cost);
            print(out, cost);
        }
        return verdict(out, costs.get(costs.size() - 1));
    }

    private Cost measure(FleetSize size) {
        long before = usedHeapBytes();
        Fleet fleet = Fleet.start(size);
        long heapBytes = usedHeapBytes() - before;
        double workerNs = perRoundNs(() -> beatWorkersOverTheWire(fleet));
        double entryNs = perRoundNs(() -> beatEntriesOverTheWire(fleet));
        double tickNs = perRoundNs(() -> tick(fleet));
        return new Cost(
                size,
                fleet.state.snapshot().length,
                heapBytes,
                workerNs * WORKER_BEATS_PER_SECOND / NS_PER_SECOND,
                entryNs / NS_PER_SECOND,
                tickNs * TICKS_PER_SECOND / NS_PER_SECOND,
                workerBytes(fleet) * WORKER_BEATS_PER_SECOND,
                entryBytes(fleet));
    }

    private static void beatWorkersOverTheWire(Fleet fleet) {
        for (int i = 0; i < fleet.size.workers(); i++) {
            byte[] request = Codec.encode(fleet.workerHeartbeat(i));
            WorkerOrders orders = fleet.leader
                    .workerHeartbeat(Codec.decode(request, WorkerHeartbeat.class))
                    .join();
            Codec.encode(orders);
        }
    }

    private static void beatEntriesOverTheWire(Fleet fleet) {
        for (int quarter = 0; quarter < 4; quarter++) {
            for (int entry = 0; entry < fleet.size.entries(); entry++) {
                byte[] request = Codec.encode(fleet.entryHeartbeat(entry, quarter));
                EntryLease lease = fleet.leader
                        .heartbeat(Codec.decode(request, EntryHeartbeat.class))
                        .join();
                Codec.encode(lease);
            }
        }
    }

    private static void tick(Fleet fleet) {
        fleet.nowMs += 50;
        fleet.leader.tick();
    }

    private static double workerBytes(Fleet fleet) {
        byte[] request = Codec.encode(fleet.workerHeartbeat(0));
        byte[] answer = Codec.encode(
                fleet.leader.workerHeartbeat(fleet.workerHeartbeat(0)).join());
        return request.length + answer.length;
    }

    private static double entryBytes(Fleet fleet) {
        double bytes = 0;
        for (int quarter = 0; quarter < 4; quarter++) {
            EntryHeartbeat heartbeat = fleet.entryHeartbeat(0, quarter);
            bytes += Codec.encode(heartbeat).length;
            bytes += Codec.encode(fleet.leader.heartbeat(heartbeat).join()).length;
        }
        return bytes;
    }

    private double perRoundNs(Runnable round) {
        for (int i = 0; i < WARM_ROUNDS; i++) {
            round.run();
        }
        long startNs = threads.getCurrentThreadCpuTime();
        for (int i = 0; i < ROUNDS; i++) {
            round.run();
        }
        return (double) (threads.getCurrentThreadCpuTime() - startNs) / ROUNDS;
    }

    private static long usedHeapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static void print(PrintStream out, Cost cost) {
        out.printf(
                "%d workers, %d targets, %d batch tasks, %d entries%n",
                cost.size().workers(),
                cost.size().targets(),
                cost.size().batch(),
                cost.size().entries());
        out.printf("  state: snapshot %.1f MB, heap %.1f MB%n", cost.snapshotBytes() / 1e6, cost.heapBytes() / 1e6);
        out.printf(
                "  leader, cores: workers' heartbeats %.3f, entries' heartbeats %.3f, regular work %.3f%n",
                cost.workerCore(), cost.entryCore(), cost.tickCore());
        out.printf(
                "  traffic: a worker %.1f KB/s, an entry %.1f KB/s, the leader %.2f MB/s%n",
                cost.workerBytesPerSecond() / 1e3, cost.entryBytesPerSecond() / 1e3, leaderBytes(cost) / 1e6);
    }

    private static double leaderBytes(Cost cost) {
        return cost.workerBytesPerSecond() * cost.size().workers()
                + cost.entryBytesPerSecond() * cost.size().entries();
    }

    private static boolean verdict(PrintStream out, Cost full) {
        double corePerNode = full.core() / full.size().workers();
        double heapPerNode = (double) full.heapBytes() / full.size().workers();
        double bytesPerNode = leaderBytes(full) / full.size().workers();
        out.printf(
                "shared by the workers: %.5f cores, %.3f MB, %.1f KB/s for each%n",
                corePerNode, heapPerNode / 1e6, bytesPerNode / 1e3);
        boolean shared =
                corePerNode <= LIMIT_CORE && heapPerNode <= LIMIT_HEAP_BYTES && bytesPerNode <= LIMIT_BYTES_PER_SECOND;
        out.printf("each worker's own traffic: %.1f KB/s%n", full.workerBytesPerSecond() / 1e3);
        boolean own = full.workerBytesPerSecond() <= LIMIT_BYTES_PER_SECOND;
        out.printf("the leader's host itself: %.3f cores, heap %.1f MB%n", full.core(), full.heapBytes() / 1e6);
        out.println(shared && own ? "holds" : "FALLS SHORT");
        return shared && own;
    }
}
