package org.cornelcove.policy.place;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cornelcove.model.error.ErrorKind;
import org.cornelcove.model.id.HostId;
import org.cornelcove.model.id.JobId;
import org.cornelcove.model.job.AttemptEnd;
import org.cornelcove.model.job.JobKind;
import org.cornelcove.model.job.JobSpec;
import org.cornelcove.model.resource.Resources;
import org.cornelcove.model.rule.BatchRule;
import org.cornelcove.model.rule.RuleSet;
import org.cornelcove.model.rule.TeamRule;
import org.cornelcove.policy.evict.EvictionBudget;
import org.cornelcove.policy.learn.InterferenceModel;
import org.cornelcove.policy.learn.LoadBand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.params.provider.Arguments.arguments;

class PlacerTest {
    private static final Resources CAPACITY = Resources.of(32_000, 100, 2);

    static HostId host(int i) {
        return HostId.of("w" + i);
    }

    static JobSpec job(String id, JobKind kind, String task, Resources amount, boolean urgent) {
        return new JobSpec(JobId.of(id), "team", kind, task, amount, 0, urgent, "");
    }

    static JobSpec batch(String id, long millicores) {
        return job(id, JobKind.BATCH, "cut", Resources.of(millicores, 1, 0), false);
    }

    static Placer placer(int hosts) {
        TreeMap<String, TeamRule> teams = new TreeMap<>();
        teams.put("team", new TeamRule("team", Resources.of(Long.MAX_VALUE / 2, Long.MAX_VALUE / 2, 1000), 1));
        teams.put("small", new TeamRule("small", Resources.of(4000, 1000, 0), 1));
        Placer placer = Placer.of(new RuleSet(new TreeMap<>(), new TreeMap<>(), teams, new BatchRule(10, 60, 3, 10)));
        for (int i = 0; i < hosts; i++) {
            placer.putHost(host(i), "zone" + i % 3, "rack" + i % 6, CAPACITY);
        }
        return placer;
    }

    static List<JobId> started(Placer placer, long nowMs) {
        return placer.decide(nowMs, 1000).stream()
                .filter(PlacementDecision.Start.class::isInstance)
                .map(d -> d.job().id())
                .toList();
    }

    static Stream<Arguments> fits() {
        return Stream.of(
                arguments("leaves the reserve", JobKind.BATCH, Resources.of(28_000, 1, 0), false, true),
                arguments("would take the reserve", JobKind.BATCH, Resources.of(30_000, 1, 0), false, false),
                arguments(
                        "urgent work would take the reserve, which the state machine refuses",
                        JobKind.BATCH,
                        Resources.of(30_000, 1, 0),
                        true,
                        false),
                arguments("a service may take the reserve", JobKind.SERVICE, Resources.of(32_000, 1, 0), false, true),
                arguments("too much memory", JobKind.BATCH, Resources.of(1000, 101, 0), false, false),
                arguments("too many accelerators", JobKind.BATCH, Resources.of(1000, 1, 3), false, false),
                arguments("accelerators", JobKind.BATCH, Resources.of(1000, 1, 2), false, true));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("fits")
    void placesWhatFits(String name, JobKind kind, Resources amount, boolean urgent, boolean placed) {
        Placer placer = placer(1);
        placer.submit(job("j", kind, "cut", amount, urgent), 0);
        assertThat(started(placer, 0), hasSize(placed ? 1 : 0));
    }

    /**
     * The state machine limits the sum of all batch work; only ordinary batch work must also leave the reserve free on top
     * of what services hold.
     */
    @ParameterizedTest
    @CsvSource({"28000, true, 1", "28000, false, 0", "24800, false, 1", "28801, true, 0"})
    void urgentWorkUsesTheReserveBesideServices(long millicores, boolean urgent, int started) {
        Placer placer = placer(1);
        placer.restore(job("s", JobKind.SERVICE, "booking", Resources.of(4000, 1, 0), false), host(0), 0);
        placer.submit(job("j", JobKind.BATCH, "cut", Resources.of(millicores, 1, 0), urgent), 0);
        assertThat(started(placer, 0), hasSize(started));
    }

    /** 90 % of 1005 is 904.5: placer and state machine both round down, else a refused start is proposed endlessly. */
    @ParameterizedTest
    @CsvSource({"904, 1", "905, 0"})
    void reserveIsRoundedAsTheStateMachineDoes(long millicores, int started) {
        Placer placer = placer(0);
        placer.putHost(host(0), "z", "r", Resources.of(1005, 100, 0));
        placer.submit(batch("j", millicores), 0);
        assertThat(started(placer, 0), hasSize(started));
    }

    @Test
    void noJobIsRejectedWhileThereIsNoHost() {
        Placer placer = placer(0);
        placer.submit(batch("j", 1000), 0);
        assertThat(placer.decide(0, 10), is(empty()));
    }

    static Stream<Arguments> failedOn() {
        return Stream.of(
                arguments("another host while one could hold it", 2, true, Set.of(host(0)), Set.of(host(1))),
                arguments("the same host if it failed on all", 1, true, Set.of(host(0)), Set.of(host(0))),
                arguments("the same host if the others accept no work", 2, false, Set.of(host(0)), Set.of(host(0))),
                arguments("no host if none accepts work", 1, false, Set.of(), Set.of()));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("failedOn")
    void failedJobGoesElsewhereIfItCan(
            String name, int hosts, boolean lastTakesWork, Set<HostId> failedOn, Set<HostId> expected) {
        Placer placer = placer(hosts);
        placer.setTakesWork(host(hosts - 1), lastTakesWork);
        placer.submit(batch("j", 1000), 1, failedOn, 0);
        Set<HostId> chosen = new HashSet<>();
        placer.decide(0, 10).forEach(d -> chosen.add(((PlacementDecision.Start) d).host()));
        assertThat(chosen, is(expected));
    }

    @Test
    void resubmittedJobKeepsItsPositionInTheQueue() {
        Placer placer = placer(1);
        placer.submit(batch("second", 28_000), 2, Set.of(), 0);
        placer.submit(batch("first", 28_000), 1, Set.of(), 0);
        assertThat(started(placer, 0), contains(JobId.of("first")));
        placer.ended(JobId.of("first"), AttemptEnd.LOST, 1);
        placer.submit(batch("first", 28_000), 1, Set.of(), 1);
        assertThat(started(placer, 2), contains(JobId.of("first")));
    }

    @Test
    void hostThatShrankMakesRoomOutsideTheBudgetAndKeepsWhatRuns() {
        Placer placer = placer(1);
        placer.restore(batch("a", 8000), host(0), 0);
        placer.restore(batch("b", 8000), host(0), 0);
        placer.checkpointed(JobId.of("b"), 5);
        placer.changeHost(host(0), "zone0", "rack0", Resources.of(10_000, 100, 0), 10);
        assertThat(placer.evictFromOvercommitted(job -> true, 10), contains(JobId.of("b")));
        assertThat("selected once", placer.evictFromOvercommitted(job -> true, 10), is(empty()));
        placer.submit(batch("c", 1000), 10);
        assertThat(started(placer, 10), is(empty()));
        placer.ended(JobId.of("b"), AttemptEnd.EVICTED, 11);
        assertThat(started(placer, 11), contains(JobId.of("c")));
    }

    @Test
    void roomIsMadeForAServiceAndKeptForIt() {
        Placer placer = placer(1);
        IntStream.range(0, 28).forEach(i -> placer.restore(batch("b" + i, 1000), host(0), 0));
        placer.submit(job("s", JobKind.SERVICE, "booking", Resources.of(6000, 1, 0), false), 0);
        placer.submit(batch("small", 500), 0);
        assertThat(started(placer, 0), contains(JobId.of("small")));
        EvictionBudget budget = EvictionBudget.of(60);
        List<JobId> victims = placer.makeRoom(job -> true, budget, 0);
        assertThat(victims, hasSize(3));
        placer.submit(batch("later", 500), 1);
        placer.ended(victims.get(0), AttemptEnd.EVICTED, 1);
        placer.ended(victims.get(1), AttemptEnd.EVICTED, 1);
        assertThat("reserved for the service", started(placer, 1), is(empty()));
        placer.ended(victims.get(2), AttemptEnd.EVICTED, 2);
        assertThat(started(placer, 2), contains(JobId.of("s")));
    }

    @Test
    void noRoomIsMadeForAJobThatWasCancelled() {
        Placer placer = placer(1);
        placer.restore(batch("b", 28_000), host(0), 0);
        placer.submit(job("u", JobKind.BATCH, "cut", Resources.of(8000, 1, 0), true), 0);
        assertThat(started(placer, 0), is(empty()));
        placer.forget(JobId.of("u"), 1);
        assertThat(started(placer, 1), is(empty()));
        assertThat(placer.makeRoom(EvictionBudget.of(60), 1), is(empty()));
    }

    @Test
    void jobThatFitsNoHostGetsItsFinalAnswer() {
        Placer placer = placer(3);
        placer.submit(batch("huge", 33_000), 0);
        PlacementDecision.Reject answer =
                (PlacementDecision.Reject) placer.decide(0, 10).get(0);
        assertThat(answer.reason().kind(), is(ErrorKind.JOB_NEVER_FITS));
        assertThat(placer.waiting(), is(0));
    }

    @Test
    void urgentGoesFirst() {
        Placer placer = placer(1);
        placer.submit(batch("a", 1000), 0);
        placer.submit(job("b", JobKind.BATCH, "cut", Resources.of(1000, 1, 0), true), 0);
        assertThat(started(placer, 0), contains(JobId.of("b"), JobId.of("a")));
    }

    @Test
    void teamStaysWithinItsQuota() {
        Placer placer = placer(3);
        for (int i = 0; i < 10; i++) {
            placer.submit(
                    new JobSpec(
                            JobId.of("q" + i), "small", JobKind.BATCH, "cut", Resources.of(1000, 1, 0), 0, false, ""),
                    0);
        }
        assertThat(started(placer, 0), hasSize(4));
        placer.ended(JobId.of("q0"), AttemptEnd.FINISHED, 1);
        assertThat(started(placer, 1), hasSize(1));
    }

    @Test
    void executorsOfAServiceAreSpreadOverZonesAndRacks() {
        Placer placer = placer(12);
        for (int i = 0; i < 6; i++) {
            placer.submit(job("s" + i, JobKind.SERVICE, "booking", Resources.of(4000, 1, 0), false), 0);
        }
        Map<String, Integer> byRack = new HashMap<>();
        for (PlacementDecision decision : placer.decide(0, 10)) {
            int index = Integer.parseInt(
                    ((PlacementDecision.Start) decision).host().value().substring(1));
            byRack.merge("rack" + index % 6, 1, Integer::sum);
        }
        assertThat(byRack.size(), is(6));
    }

    @Test
    void hostGathersRoomForAJobThatWaitedLong() {
        Placer placer = placer(1);
        for (int i = 0; i < 28; i++) {
            placer.submit(batch("a" + i, 1000), 0);
        }
        assertThat(started(placer, 0), hasSize(28));
        placer.submit(batch("wide", 8000), 0);
        placer.decide(130_000, 10);
        for (int i = 0; i < 8; i++) {
            placer.ended(JobId.of("a" + i), AttemptEnd.FINISHED, 130_000);
            placer.submit(batch("b" + i, 1000), 130_000);
        }
        assertThat(started(placer, 130_001), contains(JobId.of("wide")));
    }

    @Test
    void roomIsMadeForUrgentWorkWhereLeastIsLost() {
        Placer placer = placer(2);
        placer.restore(job("s", JobKind.SERVICE, "booking", Resources.of(4000, 1, 0), false), host(0), 0);
        placer.restore(job("t", JobKind.SERVICE, "booking", Resources.of(4000, 1, 0), false), host(1), 0);
        placer.restore(batch("old", 28_000), host(0), 0);
        placer.restore(batch("new", 28_000), host(1), 0);
        placer.checkpointed(JobId.of("new"), 9000);
        placer.submit(job("u", JobKind.BATCH, "cut", Resources.of(8000, 1, 0), true), 10_000);
        assertThat(started(placer, 10_000), is(empty()));
        EvictionBudget budget = EvictionBudget.of(60);
        assertThat(placer.makeRoom(budget, 10_000), contains(JobId.of("new")));
        assertThat("selected once", placer.makeRoom(budget, 10_001), is(empty()));
        placer.ended(JobId.of("new"), AttemptEnd.EVICTED, 11_000);
        placer.submit(batch("new", 28_000), 11_000);
        assertThat(started(placer, 11_000), contains(JobId.of("u")));
    }

    @Test
    void teamWithoutARuleStartsNothingWhereOthersHaveOne() {
        Placer placer = placer(1);
        Resources amount = Resources.of(1000, 1, 0);
        placer.submit(new JobSpec(JobId.of("j"), "unknown", JobKind.BATCH, "cut", amount, 0, false, ""), 0);
        assertThat(started(placer, 0), is(empty()));
    }

    @Test
    void restoredWorkDoesNotHoldBackItsKindAfterAChangeOfLeader() {
        Placer placer = placer(12);
        for (int i = 0; i < 100; i++) {
            placer.restore(batch("r" + i, 1000), host(i % 12), 0);
        }
        for (int i = 0; i < 5; i++) {
            placer.submit(batch("n" + i, 1000), 0);
        }
        assertThat(started(placer, 0), hasSize(5));
    }

    @ParameterizedTest(name = "{0}, added {1}")
    @CsvSource({"LOW, -1, true", "HIGH, -1, false", "HIGH, 0.05, true", "HIGH, 0.3, false", "LOW, 0.6, false"})
    void pairsAreTriedOffTheCrestAndKnownHarmIsAvoided(LoadBand band, double added, boolean placed) {
        InterferenceModel model = InterferenceModel.create();
        HostTable table = HostTable.of(model, 10);
        table.add(host(0), "z", "r", CAPACITY);
        table.take(host(0), job("s", JobKind.SERVICE, "booking", Resources.of(4000, 1, 0), false));
        table.setServiceLoad(host(0), band);
        for (int i = 0; i < 20 && added >= 0; i++) {
            model.observe("booking", Map.of("cut", 1.0), LoadBand.HIGH, 1 + added);
        }
        assertThat(table.choose(batch("j", 1000), Set.of()).isPresent(), is(placed));
    }

    @Property(seed = "51", tries = 40)
    void noHostIsOverfilledAndWhatFitsIsFound(
            @ForAll @IntRange(min = 1, max = 20) int hosts,
            @ForAll @IntRange(min = 0, max = 30) int reservePercent,
            @ForAll long seed) {
        Random random = new Random(seed);
        Placer placer = placer(hosts);
        placer.setRules(new RuleSet(
                new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), new BatchRule(reservePercent, 60, 3, 10)));
        long forBatchMillicores = CAPACITY.cpuMillicores() * (100 - reservePercent) / 100;
        Resources forBatch = Resources.of(forBatchMillicores, CAPACITY.memoryBytes(), CAPACITY.accelerators());
        Map<HostId, Resources> expectedFree = new HashMap<>();
        IntStream.range(0, hosts).forEach(i -> expectedFree.put(host(i), forBatch));
        List<PlacementDecision.Start> running = new ArrayList<>();
        for (int step = 0; step < 200; step++) {
            Resources amount = Resources.of(1000 * (1 + random.nextInt(8)), random.nextInt(30), random.nextInt(2));
            JobSpec asked = job("j" + step, JobKind.BATCH, "t" + random.nextInt(3), amount, true);
            placer.submit(asked, step);
            boolean fits = expectedFree.values().stream().anyMatch(amount::fitsIn);
            List<PlacementDecision> decisions = placer.decide(step, 10);
            assertThat(decisions.size(), is(fits ? 1 : 0));
            for (PlacementDecision decision : decisions) {
                PlacementDecision.Start start = (PlacementDecision.Start) decision;
                expectedFree.merge(start.host(), start.job().resources(), Resources::minus);
                assertThat(expectedFree.get(start.host()).isNegative(), is(false));
                running.add(start);
            }
            placer.forget(asked.id().equals(last(running)) ? JobId.of("none") : asked.id(), step);
            if (random.nextBoolean() && !running.isEmpty()) {
                PlacementDecision.Start ended = running.remove(random.nextInt(running.size()));
                placer.ended(ended.job().id(), AttemptEnd.FINISHED, step);
                expectedFree.merge(ended.host(), ended.job().resources(), Resources::plus);
            }
        }
    }

    private static JobId last(List<PlacementDecision.Start> running) {
        return running.isEmpty()
                ? JobId.of("none")
                : running.get(running.size() - 1).job().id();
    }

    @Property(seed = "52", tries = 20)
    void waveOfCancellationsLeavesNothingBehind(@ForAll @IntRange(min = 1, max = 500) int jobs) {
        Placer placer = placer(4);
        for (int i = 0; i < jobs; i++) {
            placer.submit(batch("j" + i, 1000), 0);
        }
        int first = started(placer, 0).size();
        assertThat(first, lessThanOrEqualTo(4 * 28));
        for (int i = 0; i < jobs; i++) {
            placer.forget(JobId.of("j" + i), 1);
        }
        assertThat(placer.waiting(), is(0));
        placer.submit(batch("after", 28_000), 2);
        assertThat(started(placer, 2), is(not(empty())));
    }

    @Test
    void startsArePacedAfterAFaultUrgentFirst() {
        Placer placer = placer(20);
        placer.recover(0);
        for (int i = 0; i < 100; i++) {
            placer.submit(batch("j" + i, 1000), 0);
        }
        placer.submit(job("u", JobKind.BATCH, "cut", Resources.of(1000, 1, 0), true), 0);
        List<JobId> firstSecond = new ArrayList<>();
        for (int ms = 0; ms < 1000; ms += 100) {
            firstSecond.addAll(started(placer, ms));
        }
        assertThat(firstSecond.get(0), is(JobId.of("u")));
        assertThat(firstSecond.size(), lessThanOrEqualTo(6));
        int later = 0;
        for (int ms = 1000; ms < 20_000; ms += 100) {
            later += started(placer, ms).size();
        }
        assertThat(later + firstSecond.size(), is(101));
        assertThat(later, greaterThan(90));
    }
}
