package org.cornelcove.bench;

import java.util.List;

import org.cornelcove.bench.capacity.CapacityBenchmark;
import org.cornelcove.bench.cluster.ConfigBenchmark;
import org.cornelcove.bench.cluster.OwnershipBenchmark;
import org.cornelcove.bench.entry.ClaimsBenchmark;
import org.cornelcove.bench.entry.RelayBenchmark;
import org.cornelcove.bench.policy.BlackHoleBenchmark;
import org.cornelcove.bench.policy.ColocationBenchmark;
import org.cornelcove.bench.policy.CrestBenchmark;
import org.cornelcove.bench.policy.HeadOfLineBenchmark;
import org.cornelcove.bench.policy.LeaderPlacementBenchmark;
import org.cornelcove.bench.policy.PlacementBenchmark;
import org.cornelcove.bench.policy.RetriesBenchmark;
import org.cornelcove.bench.policy.SwingBenchmark;
import org.cornelcove.bench.policy.TaskPlacementBenchmark;
import org.cornelcove.bench.replication.CommitBenchmark;
import org.cornelcove.bench.replication.FailoverBenchmark;
import org.cornelcove.bench.replication.RecoveryBenchmark;

/** Lists the benchmarks, or runs those named. Exit code 0 when every target was met, 1 otherwise, 2 on wrong usage. */
public final class Bench {
    private static final List<Benchmark> BENCHMARKS = List.of(
            new CrestBenchmark(),
            new SwingBenchmark(),
            new HeadOfLineBenchmark(),
            new RetriesBenchmark(),
            new PlacementBenchmark(),
            new LeaderPlacementBenchmark(),
            new TaskPlacementBenchmark(),
            new BlackHoleBenchmark(),
            new ColocationBenchmark(),
            new CommitBenchmark(),
            new RecoveryBenchmark(),
            new FailoverBenchmark(),
            new OwnershipBenchmark(),
            new ConfigBenchmark(),
            new CapacityBenchmark(),
            new RelayBenchmark(),
            new ClaimsBenchmark());

    private Bench() {}

    /**
     * Runs the program.
     *
     * @param args names of benchmarks; none to list them
     * @throws Exception when a benchmark could not be run
     */
    public static void main(String[] args) throws Exception {
        if (args.length == 0) {
            BENCHMARKS.forEach(b -> System.out.printf("%-14s %s%n", b.name(), b.target()));
            return;
        }
        boolean met = true;
        for (String name : args) {
            met &= find(name).run(System.out);
        }
        System.exit(met ? 0 : 1);
    }

    private static Benchmark find(String name) {
        return BENCHMARKS.stream()
                .filter(b -> b.name().equals(name))
                .findFirst()
                .orElseGet(() -> {
                    System.err.println("no benchmark '" + name + "'; start without a name to list them");
                    System.exit(2);
                    return null;
                });
    }
}
