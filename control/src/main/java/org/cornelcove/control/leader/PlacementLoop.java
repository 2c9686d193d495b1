package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import org.cornelcove.control.state.Holding;
import org.cornelcove.control.state.Job;
import org.cornelcove.control.state.PendingKey;
import org.cornelcove.control.state.Tables;
import org.cornelcove.control.state.WorkerRecord;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.PlaceAttempt;
import org.cornelcove.model.command.RejectJob;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.error.Failure;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.rule.RuleSet;

/** Gathers what a round of placement looks at, runs it, and has room made for jobs that may displace others. */
final class PlacementLoop {
    private static final int URGENT_LOOKAHEAD = 64;
    private static final int TEAM_LOOKAHEAD = 32;

    private final WorkerBoard workers;
    private final WorkerQuarantine quarantine;
    private final Placer placer;
    private final Evictor evictor;

    PlacementLoop(WorkerBoard workers, Policies policies, LeaderCounters counters) {
        this.workers = workers;
        this.quarantine = policies.quarantine();
        this.placer = new Placer(policies.placement());
        this.evictor = new Evictor(policies.eviction(), workers, counters);
    }

    void reset(long nowMs) {
        placer.reset(nowMs);
        evictor.reset(nowMs);
    }

    /** Notes that a placement was decided. */
    void decided(PlaceAttempt placement) {
        placer.decided(placement.attempt());
    }

    /** Returns the placements and rejections that are due. */
    List<Command> due(Tables tables, long nowMs) {
        evictor.relieve(tables, nowMs);
        if (tables.jobs().pendingUrgent().isEmpty()
                && tables.jobs().pendingByTeam().isEmpty()) {
            return List.of();
        }
        PlacementInput input = input(tables, nowMs);
        PlacementRound round = placer.plan(input, nowMs);
        evictor.makeRoom(round.withoutRoom(), input.rooms(), tables, nowMs);
        List<Command> commands = new ArrayList<>(round.placements());
        round.withoutRoom().forEach(job -> reject(job, tables, commands));
        return commands;
    }

    private static void reject(Job job, Tables tables, List<Command> commands) {
        RuleSet rules = tables.configuration().newest().rules();
        boolean never = !tables.workers().all().isEmpty()
                && tables.workers().couldHold(job.spec(), rules.batch()).isEmpty();
        if (never) {
            String reason = Failure.of(ErrorKind.JOB_NEVER_FITS, job.id()).message();
            commands.add(new RejectJob(job.id(), reason));
        }
    }

    private PlacementInput input(Tables tables, long nowMs) {
        Map<HostId, HostRoom> all = new TreeMap<>();
        Map<HostId, HostRoom> open = new TreeMap<>();
        quarantine.setMaxPercent(tables.configuration().newest().rules().batch().quarantinePercent());
        for (WorkerRecord worker : tables.workers().all()) {
            int mostAttempts = quarantine.mostAttempts(worker.host(), nowMs);
            HostRoom room = HostRoom.of(worker, mostAttempts, tables);
            all.put(worker.host(), room);
            if (workers.takesWork(worker.host(), worker.incarnation(), nowMs) && room.takesOneMore()) {
                open.put(worker.host(), room);
            }
        }
        List<Job> urgent = first(tables.jobs().pendingUrgent(), URGENT_LOOKAHEAD, tables);
        Map<String, List<Job>> waiting = new TreeMap<>();
        for (Map.Entry<String, TreeSet<PendingKey>> team :
                tables.jobs().pendingByTeam().entrySet()) {
            waiting.put(team.getKey(), first(team.getValue(), TEAM_LOOKAHEAD, tables));
        }
        return new PlacementInput(
                tables.configuration().newest().rules(),
                open,
                urgent,
                waiting,
                heldByTeam(urgent, waiting.values(), tables),
                replicas(urgent, waiting.values(), all, tables),
                evictor.kept());
    }

    private static List<Job> first(Collection<PendingKey> queue, int most, Tables tables) {
        return queue.stream()
                .limit(most)
                .map(key -> tables.jobs().find(key.job()).orElseThrow())
                .toList();
    }

    private static Map<String, Holding> heldByTeam(List<Job> urgent, Collection<List<Job>> waiting, Tables tables) {
        Map<String, Holding> held = new HashMap<>();
        urgent.forEach(job ->
                held.put(job.spec().team(), tables.jobs().heldBy(job.spec().team())));
        for (List<Job> jobs : waiting) {
            String team = jobs.get(0).spec().team();
            held.put(team, tables.jobs().heldBy(team));
        }
        return held;
    }

    private static Map<String, List<HostRoom>> replicas(
            List<Job> urgent, Collection<List<Job>> waiting, Map<HostId, HostRoom> rooms, Tables tables) {
        Map<String, List<HostRoom>> byTask = new HashMap<>();
        List<Job> asked = new ArrayList<>(urgent);
        waiting.forEach(asked::addAll);
        asked.stream()
                .map(Job::spec)
                .filter(spec -> spec.kind() == JobKind.SERVICE)
                .forEach(spec -> byTask.put(spec.task(), new ArrayList<>()));
        if (byTask.isEmpty()) {
            return byTask;
        }
        for (HostId host : tables.jobs().hostsInUse()) {
            for (JobId id : tables.jobs().jobsOn(host)) {
                JobSpec spec = tables.jobs().find(id).orElseThrow().spec();
                if (spec.kind() == JobKind.SERVICE && byTask.containsKey(spec.task()) && rooms.containsKey(host)) {
                    byTask.get(spec.task()).add(rooms.get(host));
                }
            }
        }
        return byTask;
    }
}
