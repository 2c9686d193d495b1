package org.cornelcove.policy.place;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;

import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.policy.place.PendingJobs.PendingJob;

/**
 * One round of a {@link Placer}'s decisions. Repeatedly selects the team with the smallest dominant share. A search that
 * found no host is not repeated in the same round.
 */
final class DecisionRound {
    private static final String ANY_TASK = "";
    /** Number of jobs at the head of a team's queue that are considered; bounds the searches of a round. */
    private static final int LOOK_AHEAD = 16;
    /** How long a job waits before a host is reserved for it. */
    private static final long RESERVE_AFTER_MS = 120_000;

    private record TeamTurn(String team, double dominantShare) implements Comparable<TeamTurn> {
        @Override
        public int compareTo(TeamTurn other) {
            int order = Double.compare(dominantShare, other.dominantShare);
            return order != 0 ? order : team.compareTo(other.team);
        }
    }

    /** The properties of a job that determine the result of a search. */
    private record Shape(JobKind kind, String task, Resources resources, boolean urgent) {}

    private final Placer placer;
    private final long nowMs;
    private final int most;
    private final List<PlacementDecision> decisions;
    private final Set<Shape> unfit = new HashSet<>();
    /** Whether the start rate limit allows no further start. */
    private boolean paceExhausted;

    DecisionRound(Placer placer, long nowMs, int most, List<PlacementDecision> decisions) {
        this.placer = placer;
        this.nowMs = nowMs;
        this.most = most;
        this.decisions = decisions;
    }

    void run(boolean hasPriority) {
        PriorityQueue<TeamTurn> turns = new PriorityQueue<>();
        for (String team : placer.pending.teams(hasPriority)) {
            turns.add(turnOf(team));
        }
        paceExhausted = false;
        while (!turns.isEmpty() && decisions.size() < most && !paceExhausted) {
            String team = turns.poll().team;
            if (decideForTeam(team, hasPriority)) {
                turns.add(turnOf(team));
            }
        }
    }

    private TeamTurn turnOf(String team) {
        return new TeamTurn(team, placer.quotas.dominantShare(team, placer.clusterCapacity));
    }

    /** Decides on one job of the team; returns false if none of the considered jobs can be decided now. */
    private boolean decideForTeam(String team, boolean hasPriority) {
        for (PendingJob job : placer.pending.first(team, hasPriority, LOOK_AHEAD)) {
            Optional<PlacementDecision> decision = decideFor(job);
            if (decision.isPresent()) {
                placer.pending.remove(job.spec().id());
                decisions.add(decision.get());
                return true;
            }
            if (paceExhausted) {
                return false;
            }
            if (nowMs - job.sinceMs() > RESERVE_AFTER_MS) {
                placer.reserveHost(job.spec());
            }
        }
        return false;
    }

    private Optional<PlacementDecision> decideFor(PendingJob waiting) {
        JobSpec job = waiting.spec();
        boolean mayStart = job.urgent() || placer.trials.mayStart(job.task());
        if (!mayStart || !placer.quotas.allows(job.team(), job.resources())) {
            return Optional.empty();
        }
        Shape shape = new Shape(job.kind(), job.task(), job.resources(), job.urgent());
        Shape ofAnyTask = new Shape(job.kind(), ANY_TASK, job.resources(), job.urgent());
        if (unfit.contains(ofAnyTask) || unfit.contains(shape)) {
            noteWithoutRoom(waiting);
            return Optional.empty();
        }
        Set<HostId> avoid = placer.avoid(waiting);
        Optional<HostId> host = placer.hosts.choose(job, avoid);
        if (host.isEmpty()) {
            if (placer.hosts.size() > 0 && !placer.hosts.fitsAnyHost(job)) {
                return Optional.of(new PlacementDecision.Reject(job, Failure.of(ErrorKind.JOB_NEVER_FITS, job.id())));
            }
            if (avoid.isEmpty()) {
                unfit.add(placer.hosts.hasRoom(job) ? shape : ofAnyTask);
            }
            noteWithoutRoom(waiting);
            return Optional.empty();
        }
        if (!placer.pace.tryStart(job.urgent(), nowMs)) {
            paceExhausted = true;
            return Optional.empty();
        }
        placer.take(job, host.get(), nowMs);
        return Optional.of(new PlacementDecision.Start(job, host.get()));
    }

    private void noteWithoutRoom(PendingJob waiting) {
        if (PendingJobs.hasPriority(waiting.spec())) {
            placer.withoutRoom.put(waiting.spec().id(), waiting);
        }
    }
}
