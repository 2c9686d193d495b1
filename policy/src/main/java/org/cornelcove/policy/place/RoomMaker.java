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
 * Selects batch jobs to evict: for urgent jobs and services that fit nowhere, and on hosts whose capacity shrank.
 *
 * <p>One host is chosen for a job and reserved until the job starts there, for at most {@code RESERVATION_MS}. Without
 * the reservation, smaller batch jobs would take the resources one by one as the evicted attempts end. The resources of
 * selected attempts that have not ended yet count as free, so that no attempt is evicted for room that is already being
 * made.
 *
 * <p>Not thread-safe.
 */
final class RoomMaker {
    /** Maximum number of searches in one call; each search scans all running jobs. */
    private static final int MAX_SEARCHES = 4;

    private static final long RESERVATION_MS = 10_000;

    /** A host reserved for a job until a point in time. */
    private record Reservation(HostId host, long untilMs) {}

    private final HostTable hosts;
    private final RunningJobs running;
    private final WorkerHealth health;
    /** Returns the hosts on which a job is not placed because it failed there. */
    private final Function<PendingJob, Set<HostId>> avoid;

    private final Map<JobId, Reservation> reservations = new HashMap<>();

    RoomMaker(HostTable hosts, RunningJobs running, WorkerHealth health, Function<PendingJob, Set<HostId>> avoid) {
        this.hosts = hosts;
        this.running = running;
        this.health = health;
        this.avoid = avoid;
    }

    List<JobId> makeRoom(
            Collection<PendingJob> withoutRoom, Predicate<JobId> mayLeave, EvictionBudget budget, long nowMs) {
        removeExpired(nowMs);
        List<JobId> victims = new ArrayList<>();
        int searches = 0;
        for (PendingJob job : withoutRoom) {
            if (searches == MAX_SEARCHES || !budget.hasOne(nowMs)) {
                break;
            }
            if (!reservations.containsKey(job.spec().id())) {
                searches++;
                victims.addAll(makeRoomFor(job, mayLeave, budget, nowMs));
            }
        }
        return victims;
    }

    private void removeExpired(long nowMs) {
        List<JobId> expired = new ArrayList<>();
        reservations.forEach((job, reservation) -> {
            if (reservation.untilMs <= nowMs) {
                expired.add(job);
            }
        });
        expired.forEach(this::forget);
    }

    private List<JobId> makeRoomFor(PendingJob waiting, Predicate<JobId> mayLeave, EvictionBudget budget, long nowMs) {
        JobSpec job = waiting.spec();
        Set<HostId> failedOn = avoid.apply(waiting);
        Predicate<HostId> mayEvictOn = host -> hosts.mayEvictOn(host)
                && !failedOn.contains(host)
                && health.maxAttempts(host, nowMs) == WorkerHealth.UNLIMITED;
        List<Preemption.Candidate> chosen =
                Preemption.choose(job, running.evictable(mayEvictOn, mayLeave, nowMs), host -> hosts.roomFor(host, job)
                        .plus(running.leavingOn(host)));
        List<JobId> victims = new ArrayList<>();
        for (Preemption.Candidate victim : chosen) {
            if (!budget.tryTake(nowMs)) {
                break;
            }
            select(victim.job().id(), victims);
            reservations.put(job.id(), new Reservation(victim.host(), nowMs + RESERVATION_MS));
            hosts.reserveFor(victim.host(), job.id());
        }
        return victims;
    }

    List<JobId> evictFromOvercommitted(Predicate<JobId> mayLeave, long nowMs) {
        List<JobId> victims = new ArrayList<>();
        for (HostId host : hosts.overfull()) {
            List<Preemption.Candidate> here = running.evictable(host::equals, mayLeave, nowMs);
            Resources expected = hosts.free(host).plus(running.leavingOn(host));
            Preemption.chooseOnHost(Resources.NONE, here, expected)
                    .forEach(victim -> select(victim.job().id(), victims));
        }
        return victims;
    }

    private void select(JobId job, List<JobId> victims) {
        running.markLeaving(job);
        victims.add(job);
    }

    /** Removes the reservation for a job, if there is one. */
    void forget(JobId job) {
        Optional.ofNullable(reservations.remove(job))
                .ifPresent(reservation -> hosts.cancelReservation(reservation.host));
    }
}
