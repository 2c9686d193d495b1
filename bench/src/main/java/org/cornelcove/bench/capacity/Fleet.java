package org.cornelcove.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.cornelcove.control.leader.ControlLeader;
import org.cornelcove.control.state.ControlState;
import org.cornelcove.model.command.Command;
import org.cornelcove.model.command.Outcome;
import org.cornelcove.model.command.PlaceAttempt;
import org.cornelcove.model.command.ProposeConfiguration;
import org.cornelcove.model.command.Refused;
import org.cornelcove.model.command.SubmitJob;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.EntryId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.id.TargetId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.message.AttemptReport;
import org.cornelcove.model.message.EntryHeartbeat;
import org.cornelcove.model.message.HeardTarget;
import org.cornelcove.model.message.TargetAnnouncement;
import org.cornelcove.model.message.WorkerHeartbeat;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.TeamRule;
import org.cornelcove.wire.Codec;

/**
 * One leading control host that looks after a cluster of a given size: the real state and the real leader's part, with
 * the log replaced by applying each command at once. Time is set by hand.
 */
final class Fleet {
    /** Rounds in which every target finds its owner and the old epochs are settled. */
    private static final int SETTLE_ROUNDS = 40;

    private static final long SETTLE_STEP_MS = 500;
    private static final int TEAMS = 100;
    private static final int ZONES = 6;
    private static final int RACK_HOSTS = 11;
    private static final int SLOTS = 8;
    private static final int CONNECTIONS = 60;
    private static final Resources CAPACITY = Resources.of(32_000, 125L << 30, 2);
    private static final Resources TASK = Resources.of(1_500, 4L << 30, 0);

    final FleetSize size;
    final ControlState state = ControlState.create();
    final ControlLeader leader;
    long nowMs = 1_000_000;
    private long index;
    private final List<List<AttemptReport>> reports = new ArrayList<>();
    /** How many heartbeats each entry has sent. */
    private final long[] sent;

    private Fleet(FleetSize size) {
        this.size = size;
        this.sent = new long[size.entries()];
        this.leader =
                ControlLeader.create(state, () -> nowMs, this::commit, () -> CompletableFuture.completedFuture(index));
        for (int i = 0; i < size.workers(); i++) {
            reports.add(new ArrayList<>());
        }
    }

    static Fleet start(FleetSize size) {
        Fleet fleet = new Fleet(size);
        fleet.leader.leadershipGained(1);
        fleet.apply(new ProposeConfiguration(1, "bench", "digest", rules()));
        fleet.beatEntries();
        fleet.beatWorkers();
        fleet.placeAll();
        for (int round = 0; round < SETTLE_ROUNDS; round++) {
            fleet.nowMs += SETTLE_STEP_MS;
            fleet.beatEntries();
            fleet.beatWorkers();
            fleet.leader.tick();
        }
        return fleet;
    }

    private CompletableFuture<Outcome> commit(long term, Command command) {
        return CompletableFuture.completedFuture(apply(command));
    }

    Outcome apply(Command command) {
        byte[] result = state.apply(++index, Codec.encode(command));
        return Codec.decode(result, Outcome.class);
    }

    private static RuleSet rules() {
        TreeMap<String, TeamRule> teams = new TreeMap<>();
        for (int i = 0; i < TEAMS; i++) {
            Resources quota = Resources.of(1_000_000_000, Long.MAX_VALUE / 4, 10_000);
            teams.put("team-" + i, new TeamRule("team-" + i, quota, 1));
        }
        return new RuleSet(new TreeMap<>(), new TreeMap<>(), teams, BatchRule.DEFAULT);
    }

    private void placeAll() {
        for (int i = 0; i < size.tasks(); i++) {
            JobKind kind = i < size.targets() ? JobKind.SERVICE : JobKind.BATCH;
            JobId id = JobId.of("job-" + i);
            apply(new SubmitJob(
                    new JobSpec(id, "team-" + i % TEAMS, kind, "task-" + i % 50, TASK, 60_000, false, "runMs=60000")));
            AttemptId attempt = AttemptId.of(id, 1);
            int worker = i % size.workers();
            Outcome placed = apply(new PlaceAttempt(attempt, host(worker)));
            if (placed instanceof Refused refused) {
                throw new IllegalStateException(refused.failure().message());
            }
            reports.get(worker)
                    .add(AttemptReport.of(attempt, 700, 2L << 30, 900, Optional.empty(), Optional.empty(), ""));
        }
    }

    private static HostId host(int number) {
        return HostId.of("worker-" + number);
    }

    private static String zone(int number) {
        return "zone-" + number % ZONES;
    }

    WorkerHeartbeat workerHeartbeat(int number) {
        return new WorkerHeartbeat(
                host(number), 1, zone(number), "rack-" + number / RACK_HOSTS, CAPACITY, false, reports.get(number));
    }

    /** Every worker sends one heartbeat. */
    void beatWorkers() {
        for (int i = 0; i < size.workers(); i++) {
            leader.workerHeartbeat(workerHeartbeat(i)).join();
        }
    }

    /**
     * The next heartbeat of an entry, which relays its share of the announcements of a quarter of a second. The number
     * of busy slots of each target changes every second. The entry has taken in all answers so far.
     */
    EntryHeartbeat entryHeartbeat(int number, int quarter) {
        sent[number]++;
        List<HeardTarget> heard = new ArrayList<>();
        for (int i = number; i < size.targets(); i += size.entries()) {
            if (i / size.entries() % 4 == quarter % 4) {
                heard.add(new HeardTarget(announcement(i, (int) (sent[number] / 4 + i) % SLOTS), 100));
            }
        }
        return new EntryHeartbeat(
                EntryId.of("entry-" + number),
                1,
                zone(number),
                "10.0.0." + number + ":7402",
                "10.0.0." + number + ":7400",
                index == 0 ? 0 : 1,
                false,
                heard,
                sent[number],
                sent[number] - 1);
    }

    private TargetAnnouncement announcement(int number, int busySlots) {
        return new TargetAnnouncement(
                TargetId.of("target-" + number),
                "service-" + number % 20,
                "10.1." + number / 250 + "." + number % 250 + ":8080",
                zone(number),
                SLOTS,
                CONNECTIONS,
                busySlots,
                false);
    }

    /** Every entry sends four heartbeats, those of one second. */
    void beatEntries() {
        for (int quarter = 0; quarter < 4; quarter++) {
            for (int entry = 0; entry < size.entries(); entry++) {
                leader.heartbeat(entryHeartbeat(entry, quarter)).join();
            }
        }
    }
}
