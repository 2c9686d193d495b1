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
 * One round of a {@link Placer}'s decisions: the teams by turns, the one with the smallest dominant share first. What found
 * no host is not searched for again in the same round.
 */
final class DecisionRound {
    private static final String ANY_TASK = "";
    /** How many younger jobs of a team may pass one that fits nowhere; bounds the searches of a round. */
    private static final int LOOK_AHEAD = 16;
    /** How long a job is overtaken before a host is kept free for it. */
    private static final long HOLD_AFTER_MS = 120_000;

    private record TeamTurn(String team, double dominantShare) implements Comparable<TeamTurn> {
        @Override
        public int compareTo(TeamTurn other) {
            int order = Double.compare(dominantShare, other.dominantShare);
            return order != 0 ? order : team.compareTo(other.team);
        }
    }

    /** What a search depends on; one that found nothing is not repeated within a round. */
    private record Shape(JobKind kind, String task, Resources resources, boolean urgent) {}

    private final Placer placer;
    private final long nowMs;
    private final int most;
    private final List<PlacementDecision> decisions;
    private final Set<Shape> unfit = new HashSet<>();
    /** Whether the pace allows no further start. */
    private boolean paced;

    DecisionRound(Placer placer, long nowMs, int most, List<PlacementDecision> decisions) {
        this.placer = placer;
        this.nowMs = nowMs;
        this.most = most;
        this.decisions = decisions;
    }

    void run(boolean goingFirst) {
        PriorityQueue<TeamTurn> turns = new PriorityQueue<>();
        for (String team : placer.pending.teams(goingFirst)) {
            turns.add(turnOf(team));
        }
        paced = false;
        while (!turns.isEmpty() && decisions.size() < most && !paced) {
            String team = turns.poll().team;
            if (decideForTeam(team, goingFirst)) {
                turns.add(turnOf(team));
            }
        }
    }

    private TeamTurn turnOf(String team) {
        return new TeamTurn(team, placer.quotas.dominantShare(team, placer.cluster));
    }

    /** Decides on one job of the team; false when none of its first jobs can start now. */
    private boolean decideForTeam(String team, boolean goingFirst) {
        for (PendingJob job : placer.pending.first(team, goingFirst, LOOK_AHEAD)) {
            Optional<PlacementDecision> decision = decideFor(job);
            if (decision.isPresent()) {
                placer.pending.remove(job.spec().id());
                decisions.add(decision.get());
                return true;
            }
            if (paced) {
                return false;
            }
            if (nowMs - job.sinceMs() > HOLD_AFTER_MS) {
                placer.hold(job.spec());
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
                return Optional.of(new PlacementDecision.GiveUp(job, Failure.of(ErrorKind.JOB_NEVER_FITS, job.id())));
            }
            if (avoid.isEmpty()) {
                unfit.add(placer.hosts.hasRoom(job) ? shape : ofAnyTask);
            }
            noteWithoutRoom(waiting);
            return Optional.empty();
        }
        if (!placer.pace.tryStart(job.urgent(), nowMs)) {
            paced = true;
            return Optional.empty();
        }
        placer.take(job, host.get(), nowMs);
        return Optional.of(new PlacementDecision.Start(job, host.get()));
    }

    private void noteWithoutRoom(PendingJob waiting) {
        if (PendingJobs.goesFirst(waiting.spec())) {
            placer.withoutRoom.put(waiting.spec().id(), waiting);
        }
    }
}
