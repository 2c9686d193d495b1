package org.cornelcove.testkit.fault;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.params.provider.Arguments.arguments;

/**
 * Runs every scenario under load and checks every guarantee. The number of violations of each goes to
 * {@code target/fault-cells.tsv}. The system property {@code fault.scenario} selects scenarios, separated by commas;
 * {@code fault.seed} sets the seed.
 */
class ClusterFaultTest {
    private static final long SEED = Long.getLong("fault.seed", 11);
    private static final List<Scenario> SELECTED = Optional.ofNullable(System.getProperty("fault.scenario"))
            .map(names -> Stream.of(names.split(",")).map(Scenario::valueOf).toList())
            .orElse(List.of(Scenario.values()));
    /** All guarantees except the one that has a test of its own. */
    private static final Set<Guarantee> REQUIRED =
            EnumSet.complementOf(EnumSet.of(Guarantee.KEY_THAT_RAN_IS_NOT_TOLD_NOT_RUN));

    private static final long REQUESTS = 100;
    private static final Path REPORT = Path.of("target", "fault-cells.tsv");

    static Stream<Scenario> scenarios() {
        return SELECTED.stream()
                .filter(scenario -> !scenario.replacesMember())
                .filter(scenario -> scenario != Scenario.ROLLING_RESTART);
    }

    static Stream<Scenario> rollingRestart() {
        return SELECTED.stream().filter(scenario -> scenario == Scenario.ROLLING_RESTART);
    }

    static Stream<Scenario> repairs() {
        return SELECTED.stream().filter(Scenario::replacesMember);
    }

    /** A mutant, the guarantee that it breaks, and the load that reveals it. */
    static Stream<Arguments> mutants() {
        Scenario.Fault sameKeyEverywhere = cluster -> {
            for (Node node : cluster.nodes) {
                cluster.sendOnce("key", node);
            }
        };
        Scenario.Fault anotherChange = Cluster::change;
        return Stream.of(
                arguments(EntryMutant.NO_CLAIM, Guarantee.ONCE_AT_MOST_ONCE, sameKeyEverywhere),
                arguments(EntryMutant.FIRST_RULES_KEPT, Guarantee.CONFIGURATION_IN_FORCE, anotherChange));
    }

    @ParameterizedTest(allowZeroInvocations = true)
    @MethodSource("scenarios")
    void everyGuaranteeHolds(Scenario scenario, @TempDir(cleanup = CleanupMode.ON_SUCCESS) Path folder)
            throws Exception {
        check(scenario, folder, REQUIRED);
    }

    /** A test of its own, so that KNOWN-RED.txt can name it without the other scenarios. */
    @ParameterizedTest(allowZeroInvocations = true)
    @MethodSource("rollingRestart")
    void everyGuaranteeHoldsInRollingRestart(Scenario scenario, @TempDir(cleanup = CleanupMode.ON_SUCCESS) Path folder)
            throws Exception {
        check(scenario, folder, REQUIRED);
    }

    /** Guards against an entry without a lease that answers not-run to a repeated key whose request has run already. */
    @Test
    void keyThatRanIsNotToldNotRun(@TempDir(cleanup = CleanupMode.ON_SUCCESS) Path folder) throws Exception {
        check(Scenario.LEADER_THEN_FOLLOWER_FROZEN, folder, Set.of(Guarantee.KEY_THAT_RAN_IS_NOT_TOLD_NOT_RUN));
    }

    /** Each check finds violations on a cluster whose daemons have a deliberate fault. */
    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("mutants")
    void checkerIsRedOnABrokenDaemon(
            EntryMutant mutant,
            Guarantee broken,
            Scenario.Fault revealing,
            @TempDir(cleanup = CleanupMode.ON_SUCCESS) Path folder)
            throws Exception {
        try (Cluster cluster = Cluster.start(folder, SEED, Program.withMutant(mutant))) {
            cluster.awaitServing();
            revealing.inject(cluster);
            assertThat(broken.violations(cluster.history), is(not(empty())));
        }
    }

    @ParameterizedTest(allowZeroInvocations = true)
    @MethodSource("repairs")
    void everyGuaranteeHoldsAfterRepair(Scenario scenario, @TempDir(cleanup = CleanupMode.ON_SUCCESS) Path folder)
            throws Exception {
        check(scenario, folder, REQUIRED);
    }

    private static void check(Scenario scenario, Path folder, Set<Guarantee> required) throws Exception {
        try (Cluster cluster = Cluster.start(folder, SEED, scenario.program())) {
            boolean serves = false;
            try {
                run(scenario, cluster);
                serves = true;
            } finally {
                report(List.of(line("SERVES_AGAIN", scenario, serves ? 0 : 1)));
            }
            Map<Guarantee, List<String>> violations = violations(scenario, cluster);
            violations.keySet().retainAll(required);
            assertThat(violations, is(Map.of()));
        }
    }

    private static void run(Scenario scenario, Cluster cluster) throws Exception {
        cluster.startLoad(SEED);
        Callers.pause(1_000);
        scenario.fault.inject(cluster);
        Cluster.await("requests answered", () -> countDone(cluster) > REQUESTS);
        cluster.stopLoadAndCollect();
    }

    private static long countDone(Cluster cluster) {
        return cluster.history.events(Seen.Answer.class).stream()
                .filter(answer -> answer.run().equals("done"))
                .count();
    }

    private static String line(String guarantee, Scenario scenario, int violations) {
        return String.join("\t", guarantee, scenario.name(), Integer.toString(violations), Long.toString(SEED));
    }

    private static void report(List<String> lines) throws IOException {
        Files.write(REPORT, lines, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    private static Map<Guarantee, List<String>> violations(Scenario scenario, Cluster cluster) throws Exception {
        Map<Guarantee, List<String>> violations = new TreeMap<>();
        List<String> lines = new ArrayList<>();
        for (Guarantee guarantee : Guarantee.values()) {
            List<String> found = guarantee.violations(cluster.history);
            lines.add(line(guarantee.name(), scenario, found.size()));
            if (!found.isEmpty()) {
                violations.put(
                        guarantee,
                        found.stream()
                                .limit(3)
                                .map(ClusterFaultTest::abbreviate)
                                .toList());
            }
        }
        report(lines);
        return violations;
    }

    private static String abbreviate(String violation) {
        return violation.replaceAll("x{9,}", "x...");
    }
}
