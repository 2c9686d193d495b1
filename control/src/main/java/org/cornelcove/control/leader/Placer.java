package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;

import org.cornelcove.control.state.Fit;
import org.cornelcove.control.state.Holding;
import org.cornelcove.control.state.Job;
import org.cornelcove.model.command.PlaceAttempt;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.TeamRule;

/**
 * One round of placement: urgent jobs first, then the teams in turn, each time the one that holds least for its weight.
 *
 * <p>The round works on a copy of the state to which placements under way are added, so that a host is not planned full
 * twice; whether a placement holds is decided by the durable state alone. Rounds are bounded in the starts that they
 * give and in the jobs, urgent and other, that they look at. A job that doesn't fit is passed over for smaller ones of its team; jobs at
 * least as large as one that found no room are passed over without a look at the hosts.
 *
 * <p>A job that failed goes to a worker on which it did not fail yet, as long as there is one that could hold it.
 *
 * <p>After a fault many jobs wait that ran before. Their restarts take tokens from a bucket, so that they come back at
 * a bounded pace; urgent jobs and first starts take none.
 */
final class Placer {
    static final int MAX_STARTS_PER_ROUND = 32;
    static final int MAX_LOOKS_PER_ROUND = 64;
    static final double RESTARTS_PER_SECOND = 100;

    private final PlacementPolicy policy;
    private final Map<AttemptId, PlaceAttempt> underWay = new HashMap<>();
    private final Map<AttemptId, JobSpec> specs = new HashMap<>();
    private TokenBucket restarts = TokenBucket.of(0, 0);

    Placer(PlacementPolicy policy) {
        this.policy = policy;
    }

    void reset(long nowMs) {
        underWay.clear();
        specs.clear();
        restarts = TokenBucket.of(0, nowMs);
    }

    void decided(AttemptId attempt) {
        underWay.remove(attempt);
        specs.remove(attempt);
    }

    /** Returns the placements to propose and notes them as under way. */
    PlacementRound plan(PlacementInput input, long nowMs) {
        restarts.fill(RESTARTS_PER_SECOND, RESTARTS_PER_SECOND, nowMs);
        Round round = new Round(input);
        round.placeUrgent();
        round.placeTeams();
        for (PlaceAttempt placement : round.placements) {
            underWay.put(placement.attempt(), placement);
            specs.put(placement.attempt(), round.specs.get(placement.attempt()));
        }
        return new PlacementRound(round.placements, round.withoutRoom);
    }

    private static boolean isBatch(JobSpec spec) {
        return spec.kind() == JobKind.BATCH;
    }

    /** The working copy of one round. */
    private final class Round {
        private final PlacementInput input;
        private final TreeMap<HostId, HostRoom> rooms;
        private final Map<String, Holding> teams;
        private final List<PlaceAttempt> placements = new ArrayList<>();
        private final Map<AttemptId, JobSpec> specs = new HashMap<>();
        private final List<Job> withoutRoom = new ArrayList<>();
        private final List<JobSpec> tooLarge = new ArrayList<>();
        private int looks;

        private Round(PlacementInput input) {
            this.input = input;
            this.rooms = new TreeMap<>(input.rooms());
            this.teams = new HashMap<>(input.heldByTeam());
            underWay.values().forEach(placement -> hold(placement.host(), Placer.this.specs.get(placement.attempt())));
        }

        private void hold(HostId host, JobSpec spec) {
            rooms.computeIfPresent(host, (any, room) -> room.plus(spec.resources(), isBatch(spec)));
            teams.merge(
                    spec.team(),
                    Holding.NONE.plus(spec.resources(), isBatch(spec)),
                    (held, one) -> held.plus(spec.resources(), isBatch(spec)));
        }

        private void placeUrgent() {
            for (Job job : input.urgent()) {
                place(job);
            }
            looks = 0;
        }

        private void placeTeams() {
            PriorityQueue<String> turn = new PriorityQueue<>(
                    Comparator.comparingDouble(this::share).thenComparing(Comparator.naturalOrder()));
            Map<String, Iterator<Job>> queues = new HashMap<>();
            input.waiting().forEach((team, jobs) -> {
                queues.put(team, jobs.iterator());
                turn.add(team);
            });
            while (!turn.isEmpty() && roomForMore()) {
                String team = turn.poll();
                Iterator<Job> queue = queues.get(team);
                boolean placed = false;
                while (!placed && queue.hasNext() && roomForMore()) {
                    placed = place(queue.next());
                }
                if (placed) {
                    turn.add(team);
                }
            }
        }

        private boolean roomForMore() {
            return placements.size() < MAX_STARTS_PER_ROUND && looks < MAX_LOOKS_PER_ROUND;
        }

        private double share(String team) {
            TeamRule rule = input.rules().teams().get(team);
            Resources held = teams.getOrDefault(team, Holding.NONE).total();
            return (double) held.cpuMillicores() / (rule == null ? 1 : rule.weight());
        }

        private boolean place(Job job) {
            JobSpec spec = job.spec();
            AttemptId attempt = AttemptId.of(job.id(), job.attempt() + 1);
            if (!roomForMore() || underWay.containsKey(attempt) || !withinQuota(spec) || knownTooLarge(job)) {
                return false;
            }
            looks++;
            Optional<HostId> host = choose(job);
            if (host.isEmpty()) {
                withoutRoom.add(job);
                if (job.failedHosts().isEmpty()) {
                    tooLarge.add(spec);
                }
                return false;
            }
            if (job.attempt() > 0 && !spec.urgent() && !restarts.take()) {
                return false;
            }
            placements.add(new PlaceAttempt(attempt, host.get()));
            specs.put(attempt, spec);
            hold(host.get(), spec);
            return true;
        }

        private boolean withinQuota(JobSpec spec) {
            if (input.rules().teams().isEmpty()) {
                return true;
            }
            TeamRule rule = input.rules().teams().get(spec.team());
            Resources together =
                    teams.getOrDefault(spec.team(), Holding.NONE).total().plus(spec.resources());
            return rule != null && together.fitsIn(rule.quota());
        }

        private boolean knownTooLarge(Job job) {
            return tooLarge.stream()
                    .anyMatch(other -> other.kind() == job.spec().kind()
                            && other.resources().fitsIn(job.spec().resources()));
        }

        private Optional<HostId> choose(Job job) {
            JobSpec spec = job.spec();
            List<HostRoom> fitting = rooms.values().stream()
                    .filter(HostRoom::takesOneMore)
                    .filter(room ->
                            input.kept().getOrDefault(room.host(), job.id()).equals(job.id()))
                    .filter(room -> Fit.fits(
                            spec, room.capacity(), room.held(), input.rules().batch()))
                    .toList();
            List<HostRoom> fresh = fitting.stream()
                    .filter(room -> !job.failedHosts().contains(room.host()))
                    .toList();
            boolean failedEverywhere = rooms.values().stream()
                    .filter(room ->
                            Fit.fitsEmpty(spec, room.capacity(), input.rules().batch()))
                    .allMatch(room -> job.failedHosts().contains(room.host()));
            List<HostRoom> candidates = failedEverywhere ? fitting : fresh;
            if (candidates.isEmpty()) {
                return Optional.empty();
            }
            return policy.choose(spec, candidates, input.replicas().getOrDefault(spec.task(), List.of()));
        }
    }
}
