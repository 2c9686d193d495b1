package org.cornelcove.control.leader;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;

/**
 * The standard placement: batch work goes to the host that it fills most, so that large jobs find room later; a service
 * goes where the fewest of its attempts run, counted by availability zone, then rack, then host, and then to the
 * emptiest. Hosts with accelerators come last for work that needs none.
 */
public final class BestFit implements PlacementPolicy {
    /** The policy. */
    public static final BestFit INSTANCE = new BestFit();

    private static final Comparator<HostRoom> BY_NAME = Comparator.comparing(HostRoom::host);

    private BestFit() {}

    @Override
    public Optional<HostId> choose(JobSpec spec, List<HostRoom> candidates, List<HostRoom> replicas) {
        Comparator<HostRoom> order = spec.kind() == JobKind.SERVICE ? spread(replicas) : fullest(spec);
        return candidates.stream()
                .min(Comparator.comparing((HostRoom room) -> wastesAccelerators(spec, room))
                        .thenComparing(order)
                        .thenComparing(BY_NAME))
                .map(HostRoom::host);
    }

    private static boolean wastesAccelerators(JobSpec spec, HostRoom room) {
        return spec.resources().accelerators() == 0 && room.capacity().accelerators() > 0;
    }

    private static Comparator<HostRoom> spread(List<HostRoom> replicas) {
        Map<String, Long> byZone = count(replicas, HostRoom::availabilityZone);
        Map<String, Long> byRack = count(replicas, BestFit::rackKey);
        Map<HostId, Long> byHost = count(replicas, HostRoom::host);
        return Comparator.comparingLong((HostRoom room) -> byZone.getOrDefault(room.availabilityZone(), 0L))
                .thenComparingLong(room -> byRack.getOrDefault(rackKey(room), 0L))
                .thenComparingLong(room -> byHost.getOrDefault(room.host(), 0L))
                .thenComparingDouble(room -> -freeShare(room.free(), room.capacity()));
    }

    private static <K> Map<K, Long> count(List<HostRoom> replicas, Function<HostRoom, K> key) {
        return replicas.stream().collect(Collectors.groupingBy(key, Collectors.counting()));
    }

    /** Racks are named within their zone. */
    private static String rackKey(HostRoom room) {
        return room.availabilityZone() + "/" + room.rack();
    }

    private static Comparator<HostRoom> fullest(JobSpec spec) {
        return Comparator.comparingDouble(room -> freeShare(room.free().minus(spec.resources()), room.capacity()));
    }

    private static double freeShare(Resources free, Resources capacity) {
        double cpu = (double) free.cpuMillicores() / Math.max(1, capacity.cpuMillicores());
        double memory = (double) free.memoryBytes() / Math.max(1, capacity.memoryBytes());
        return Math.min(cpu, memory);
    }
}
