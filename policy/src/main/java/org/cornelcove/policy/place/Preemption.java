package org.cornelcove.policy.place;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;

/**
 * Chooses the batch attempts to evict for an urgent job. On each host the attempts are taken in ascending order of the
 * work done since their last checkpoint until the job fits; attempts that are then not needed are left out again. The
 * host where the least work is lost is chosen.
 */
final class Preemption {
    private Preemption() {}

    /** Returns the attempts to evict, all on one host; empty if the job fits no host even after evictions. */
    static List<Candidate> choose(JobSpec urgent, List<Candidate> running, Function<HostId, Resources> free) {
        Map<HostId, List<Candidate>> byHost = new TreeMap<>();
        for (Candidate candidate : running) {
            byHost.computeIfAbsent(candidate.host(), h -> new ArrayList<>()).add(candidate);
        }
        List<Candidate> best = List.of();
        for (Map.Entry<HostId, List<Candidate>> host : byHost.entrySet()) {
            List<Candidate> victims = chooseOnHost(urgent.resources(), host.getValue(), free.apply(host.getKey()));
            if (!victims.isEmpty() && (best.isEmpty() || lostWork(victims) < lostWork(best))) {
                best = victims;
            }
        }
        return best;
    }

    /** Returns the attempts to evict on one host so that the needed resources fit; empty if they cannot fit. */
    static List<Candidate> chooseOnHost(Resources needed, List<Candidate> candidates, Resources freeNow) {
        List<Candidate> cheapestFirst = new ArrayList<>(candidates);
        cheapestFirst.sort(Comparator.comparingDouble(Candidate::lostWork)
                .thenComparing(c -> c.job().id()));
        List<Candidate> victims = new ArrayList<>();
        Resources room = freeNow;
        for (Candidate candidate : cheapestFirst) {
            if (needed.fitsIn(room)) {
                break;
            }
            victims.add(candidate);
            room = room.plus(candidate.job().resources());
        }
        if (!needed.fitsIn(room)) {
            return List.of();
        }
        return dropUnneeded(needed, victims, room);
    }

    /** Removes the victims whose resources are not needed, the one with the most lost work first. */
    private static List<Candidate> dropUnneeded(Resources needed, List<Candidate> victims, Resources freed) {
        List<Candidate> chosen = new ArrayList<>(victims);
        Resources room = freed;
        for (int i = victims.size() - 1; i >= 0; i--) {
            Resources without = room.minus(victims.get(i).job().resources());
            if (needed.fitsIn(without)) {
                chosen.remove(victims.get(i));
                room = without;
            }
        }
        return chosen;
    }

    private static double lostWork(List<Candidate> victims) {
        return victims.stream().mapToDouble(Candidate::lostWork).sum();
    }

    /**
     * A running attempt that may be evicted.
     *
     * @param job the job
     * @param host the host it runs on
     * @param sinceSavedMs the time since its last checkpoint, or since its start if it has none, in ms
     */
    record Candidate(JobSpec job, HostId host, long sinceSavedMs) {
        double lostWork() {
            return (double) job.resources().cpuMillicores() * (1 + sinceSavedMs);
        }
    }
}
