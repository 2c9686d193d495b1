package org.cornelcove.replication.core;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

@Execution(ExecutionMode.CONCURRENT)
class ScenarioTest {
    private static final int SEEDS = 10;

    static Stream<Arguments> scenarios() {
        return Arrays.stream(Scenario.values())
                .flatMap(scenario -> LongStream.range(0, SEEDS).mapToObj(seed -> Arguments.of(scenario, seed)));
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void everyGuaranteeHolds(Scenario scenario, long seed) {
        assertThat(scenario.historyOf(Mutant.NONE, seed).violations(), is(Map.of()));
    }

    @ParameterizedTest
    @CsvSource({
        "COMMITS_OLD_TERMS, OLD_TERM_REACHES_MAJORITY, SAME_COMMANDS_EVERYWHERE",
        "VOTES_AT_ANY_TIME, READ_AFTER_ELECTION, READS_SEE_ACKNOWLEDGED",
        "LEARNERS_COUNT, LEADER_ALONE_WITH_LEARNERS, SAME_COMMANDS_EVERYWHERE",
        "CHANGES_OVERLAP, LEADER_ALONE_WITH_LEARNERS, SAME_COMMANDS_EVERYWHERE",
        "ADDITION_DONE_EARLY, LOSS_RIGHT_AFTER_REPAIR, REPAIRED_SURVIVES_SECOND_LOSS",
        "LOST_DISK_UNNOTICED, LOST_DISK_SAME_ID, NO_ACKNOWLEDGED_COMMAND_LOST",
        "RESTORED_COPY_UNNOTICED, RESTORED_FROM_COPY, NO_ACKNOWLEDGED_COMMAND_LOST",
        "ACKNOWLEDGES_BEFORE_SYNC, POWER_LOST, NO_ACKNOWLEDGED_COMMAND_LOST",
    })
    void checkerDetectsMutant(Mutant mutant, Scenario scenario, History.Guarantee guarantee) {
        assertThat(
                LongStream.range(0, SEEDS)
                        .boxed()
                        .flatMap(seed -> scenario.historyOf(mutant, seed).violations().keySet().stream())
                        .toList(),
                hasItem(guarantee));
    }

    @ParameterizedTest
    @CsvSource({
        "FORGETS_ITS_VOTE, ALL_KILLED, DRAINED, ONE_LEADER_PER_TERM",
        "READS_WITHOUT_LEASE, CUT_BOTH_WAYS, ELECTED, READS_SEE_ACKNOWLEDGED",
        "APPENDS_TWICE, KILLED, DRAINED, AT_MOST_ONCE",
        "REFUSES_WHAT_IT_APPENDED, LEADER_CUT, DRAINED, REFUSED_IS_NOT_RUN",
        "REFUSES_WHAT_IT_APPENDED, LEADERSHIP_MOVED, DRAINED, REFUSED_IS_NOT_RUN",
        "NEVER_VOTES, LEADER_KILLED, DRAINED, SERVES_AGAIN",
        "SNAPSHOT_NOT_RESTORED, LEADER_KILLED, DRAINED, NO_ACKNOWLEDGED_COMMAND_LOST",
    })
    void checkerDetectsMutantInFaultCell(Mutant mutant, Fault fault, Step step, History.Guarantee guarantee) {
        assertThat(
                Stream.of(0, 1, 2)
                        .flatMap(seed -> new FaultCell(fault, Optional.empty(), step, seed)
                                .run(mutant).history().violations().keySet().stream())
                        .toList(),
                hasItem(guarantee));
    }
}
