package org.cornelcove.control.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.cornelcove.control.state.Holding;
import org.cornelcove.control.state.Job;
import org.cornelcove.model.command.PlaceAttempt;
import org.cornelcove.model.id.AttemptId;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.job.JobState;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.TeamRule;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.params.provider.Arguments.arguments;

class PlacerTest {
    private static final BatchRule NO_RESERVE = new BatchRule(0, 60, 4, 10);
    private static final long LATER_MS = 1_000;

    private static Job job(String name, String team, JobKind kind, boolean urgent, int attempt, String... failedOn) {
        JobSpec spec = new JobSpec(JobId.of(name), team, kind, "task", Resources.of(1_000, 1, 0), 1, urgent, "");
        List<HostId> hosts = Stream.of(failedOn).map(HostId::of).toList();
        return new Job(
                spec, JobState.PENDING, attempt, Optional.empty(), 0, Optional.empty(), "", 1, 0, hosts.size(), hosts);
    }

    private static Job batch(String name, String team) {
        return job(name, team, JobKind.BATCH, false, 0);
    }

    /** Hosts are written as name, zone and processor in thousandths of a core. */
    private static Map<HostId, HostRoom> rooms(String... hosts) {
        Map<HostId, HostRoom> rooms = new TreeMap<>();
        for (String host : hosts) {
            String[] words = host.split(" ");
            Resources capacity = Resources.of(Long.parseLong(words[2]), 100, 0);
            HostId id = HostId.of(words[0]);
            rooms.put(
                    id,
                    new HostRoom(id, words[1], "r-" + words[0], capacity, Holding.NONE, WorkerQuarantine.UNLIMITED));
        }
        return rooms;
    }

    private static PlacementInput input(Map<HostId, HostRoom> rooms, List<Job> jobs) {
        TreeMap<String, TeamRule> teams = new TreeMap<>();
        teams.put("red", new TeamRule("red", Resources.of(3_000, 100, 0), 2));
        teams.put("blue", new TeamRule("blue", Resources.of(9_000, 100, 0), 1));
        Map<String, List<Job>> waiting = new TreeMap<>();
        List<Job> urgent = new ArrayList<>();
        for (Job job : jobs) {
            if (job.spec().urgent()) {
                urgent.add(job);
            } else {
                waiting.computeIfAbsent(job.spec().team(), any -> new ArrayList<>())
                        .add(job);
            }
        }
        RuleSet rules = new RuleSet(new TreeMap<>(), new TreeMap<>(), teams, NO_RESERVE);
        return new PlacementInput(rules, rooms, urgent, waiting, Map.of(), Map.of(), Map.of());
    }

    private static List<String> placed(PlacementInput input) {
        Placer placer = new Placer(BestFit.INSTANCE);
        placer.reset(0);
        return placer.plan(input, LATER_MS).placements().stream()
                .map(placement -> placement.attempt() + " " + placement.host())
                .toList();
    }

    static Stream<Arguments> cases() {
        return Stream.of(
                arguments(
                        "urgent first, and what doesn't fit waits",
                        rooms("h z 1000"),
                        List.of(batch("a", "red"), job("u", "red", JobKind.BATCH, true, 0)),
                        List.of("u#1 h")),
                arguments(
                        "teams in turn by what they hold for their weight, within quotas",
                        rooms("h z 6000"),
                        List.of(
                                batch("r1", "red"),
                                batch("r2", "red"),
                                batch("r3", "red"),
                                batch("r4", "red"),
                                batch("b1", "blue"),
                                batch("b2", "blue"),
                                batch("b3", "blue")),
                        List.of("b1#1 h", "r1#1 h", "r2#1 h", "b2#1 h", "r3#1 h", "b3#1 h")),
                arguments(
                        "batch work goes to the host that it fills most",
                        rooms("h z 4000", "i z 2000"),
                        List.of(batch("a", "red"), batch("b", "red")),
                        List.of("a#1 i", "b#1 i")),
                arguments(
                        "a failed job goes elsewhere while another worker could hold it",
                        rooms("h z 1000", "i z 2000"),
                        List.of(job("a", "red", JobKind.BATCH, false, 1, "h")),
                        List.of("a#2 i")),
                arguments(
                        "a failed job goes back where the other workers could never hold it",
                        rooms("h z 1000", "i z 500"),
                        List.of(job("a", "red", JobKind.BATCH, false, 1, "h")),
                        List.of("a#2 h")));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("cases")
    void jobsArePlaced(String name, Map<HostId, HostRoom> rooms, List<Job> jobs, List<String> expected) {
        assertThat(name, placed(input(rooms, jobs)), is(expected));
    }

    @Test
    void restartsComeBackAtTheirPaceAndUrgentOnesAtOnce() {
        List<Job> jobs = new ArrayList<>();
        for (int i = 0; i < Placer.MAX_STARTS_PER_ROUND; i++) {
            jobs.add(job("b" + i, "blue", JobKind.BATCH, false, 1));
        }
        jobs.add(job("u", "blue", JobKind.BATCH, true, 1));
        Placer placer = new Placer(BestFit.INSTANCE);
        placer.reset(0);
        PlacementInput input = input(rooms("h z 90000"), jobs);
        assertThat(placer.plan(input, 0).placements(), is(List.of(attempt("u", 2))));
        long pacedStarts = (long) (50 * Placer.RESTARTS_PER_SECOND / 1_000);
        assertThat((long) placer.plan(input, 50).placements().size(), is(pacedStarts));
    }

    private static PlaceAttempt attempt(String job, int number) {
        return new PlaceAttempt(AttemptId.of(JobId.of(job), number), HostId.of("h"));
    }

    @Test
    void servicesSpreadOverZonesThenRacks() {
        Map<HostId, HostRoom> rooms = rooms("a z1 9000", "b z1 9000", "c z2 1000");
        Job service = job("s", "red", JobKind.SERVICE, false, 0);
        List<HostRoom> all = List.copyOf(rooms.values());
        List<HostRoom> replicas = new ArrayList<>();
        List<String> chosen = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            HostId host = BestFit.INSTANCE.choose(service.spec(), all, replicas).orElseThrow();
            chosen.add(host.value());
            replicas.add(rooms.get(host));
        }
        assertThat(chosen, is(List.of("a", "c", "b", "c")));
    }

    @Test
    void theLeastWorkIsLostToMakeRoom() {
        HostRoom room = rooms("h z 3000").get(HostId.of("h")).plus(Resources.of(3_000, 3, 0), true);
        List<Victim> victims = Stream.of("a 9", "b 1", "c 5")
                .map(words -> words.split(" "))
                .map(words -> new Victim(
                        AttemptId.of(JobId.of(words[0]), 1),
                        batch(words[0], "red").spec(),
                        Long.parseLong(words[1])))
                .toList();
        JobSpec two = new JobSpec(JobId.of("u"), "red", JobKind.BATCH, "t", Resources.of(2_000, 1, 0), 1, true, "");
        List<String> chosen = LeastLostWork.INSTANCE.choose(two, room, victims, NO_RESERVE).stream()
                .map(victim -> victim.attempt().job().value())
                .toList();
        assertThat(chosen, is(List.of("b", "c")));
    }
}
