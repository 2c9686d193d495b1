package org.cornelcove.policy.place;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.policy.evict.EvictionBudget;
import org.cornelcove.policy.place.PendingJobs.PendingJob;
import org.cornelcove.policy.quarantine.WorkerHealth;

/**
 * Names the batch work that makes room: for jobs that go first and fit nowhere, and on hosts that shrank.
 *
 * <p>One host is chosen for a job and kept free of other ordinary batch work until the job starts there, at most for
 * {@code KEEP_ROOM_MS}: room comes free piece by piece as the attempts end, and smaller work would take each piece. What
 * was named and has not ended yet counts as room, so that nothing is evicted twice for the same need.
 *
 * <p>Not thread-safe.
 */
final class RoomMaker {
    /** Searches for room in one call, since each looks at all that runs. */
    private static final int MAX_SEARCHES = 4;

    private static final long KEEP_ROOM_MS = 10_000;

    /** A host that is kept free for a job. */
    private record Kept(HostId host, long untilMs) {}

    private final HostTable hosts;
    private final RunningJobs running;
    private final WorkerHealth health;
    /** The hosts on which a job is not placed, since it failed there. */
    private final Function<PendingJob, Set<HostId>> avoid;

    private final Map<JobId, Kept> roomFor = new HashMap<>();

    RoomMaker(HostTable hosts, RunningJobs running, WorkerHealth health, Function<PendingJob, Set<HostId>> avoid) {
        this.hosts = hosts;
        this.running = running;
        this.health = health;
        this.avoid = avoid;
    }

    List<JobId> makeRoom(
            Collection<PendingJob> withoutRoom, Predicate<JobId> mayLeave, EvictionBudget budget, long nowMs) {
        giveUp(nowMs);
        List<JobId> victims = new ArrayList<>();
        int searches = 0;
        for (PendingJob job : withoutRoom) {
            if (searches == MAX_SEARCHES || !budget.hasOne(nowMs)) {
                break;
            }
            if (!roomFor.containsKey(job.spec().id())) {
                searches++;
                victims.addAll(makeRoomFor(job, mayLeave, budget, nowMs));
            }
        }
        return victims;
    }

    private void giveUp(long nowMs) {
        List<JobId> over = new ArrayList<>();
        roomFor.forEach((job, kept) -> {
            if (kept.untilMs <= nowMs) {
                over.add(job);
            }
        });
        over.forEach(this::forget);
    }

    private List<JobId> makeRoomFor(PendingJob waiting, Predicate<JobId> mayLeave, EvictionBudget budget, long nowMs) {
        JobSpec job = waiting.spec();
        Set<HostId> failedOn = avoid.apply(waiting);
        Predicate<HostId> mayGive = host -> hosts.mayGiveRoom(host)
                && !failedOn.contains(host)
                && health.maxAttempts(host, nowMs) == WorkerHealth.UNLIMITED;
        List<Preemption.Candidate> chosen =
                Preemption.choose(job, running.evictable(mayGive, mayLeave, nowMs), host -> hosts.roomFor(host, job)
                        .plus(running.leavingOn(host)));
        List<JobId> victims = new ArrayList<>();
        for (Preemption.Candidate victim : chosen) {
            if (!budget.tryTake(nowMs)) {
                break;
            }
            leave(victim.job().id(), victims);
            roomFor.put(job.id(), new Kept(victim.host(), nowMs + KEEP_ROOM_MS));
            hosts.keepFor(victim.host(), job.id());
        }
        return victims;
    }

    List<JobId> relieve(Predicate<JobId> mayLeave, long nowMs) {
        List<JobId> victims = new ArrayList<>();
        for (HostId host : hosts.overfull()) {
            List<Preemption.Candidate> here = running.evictable(host::equals, mayLeave, nowMs);
            Resources expected = hosts.free(host).plus(running.leavingOn(host));
            Preemption.onHost(Resources.NONE, here, expected)
                    .forEach(victim -> leave(victim.job().id(), victims));
        }
        return victims;
    }

    private void leave(JobId job, List<JobId> victims) {
        running.leave(job);
        victims.add(job);
    }

    /** Opens the host again that was kept for a job, if one was. */
    void forget(JobId job) {
        Optional.ofNullable(roomFor.remove(job)).ifPresent(kept -> hosts.unhold(kept.host));
    }
}
